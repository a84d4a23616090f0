//! Tests of intents, plans and lookups in a content.

use std::net::IpAddr;

use googletest::prelude::*;
use plantainpost_core::config::{
    ConfigReplica, Content, Intent, KnownTarget, Plan, Verdict, VerifyError,
};

use super::harness::batch;

/// Applies the confirmation of a plan and returns its verdict.
fn confirm(replica: &mut ConfigReplica, plan: &Plan) -> Result<Verdict> {
    let data = replica.confirm_record(plan, "ama", 1).encode()?;
    let decided = replica.apply(&batch(replica.read_to(), &[&data])).decided;
    Ok(decided.first().or_fail()?.verdict.clone())
}

/// Plans an intent given as JSON.
fn plan(replica: &ConfigReplica, intent: &str) -> Result<Plan> {
    let intent: Intent = serde_json::from_str(intent)?;
    Ok(replica.plan(&intent, "ama", 1_000)?)
}

fn replica_after(intents: &[&str]) -> Result<ConfigReplica> {
    let mut replica = ConfigReplica::new();
    for intent in intents {
        let plan = plan(&replica, intent)?;
        verify_that!(confirm(&mut replica, &plan)?, eq(&Verdict::InForce))?;
    }
    Ok(replica)
}

const SHARES: &str = r#"{"kind":"share","service":"stock","shares":{"data_centre:pos":20,"node:n1":70,"node:n2":0}}"#;
const METHODS: &str = r#"{"kind":"repeatable","service":"stock","methods":["PUT"]}"#;
const LEAVE: &str = r#"{"kind":"leave","leaving": [{"target":"n1"}]}"#;
const LEAVE_HOST: &str = r#"{"kind":"leave","leaving": [{"host":"10.0.0.1"}]}"#;
const LEAVE_ARIMA: &str = r#"{"kind":"leave","leaving": [{"data_centre":"arima"}]}"#;

/// Guards against a plan that lists other changes than it makes, and against an invalid
/// intent that is planned without an error.
#[gtest]
fn plans_list_their_changes() -> Result<()> {
    let replica = replica_after(&[SHARES, METHODS, LEAVE])?;
    let rows = rows! {
        r#"{"kind":"share","service":"stock","shares":{"node:n1":70}}"# =>
            "service stock: share of data_centre:pos: 20 to default 100; \
             service stock: share of node:n2: 0 to default 100";
        r#"{"kind":"share","service":"photos","shares":{"node:n9":5}}"# =>
            "service photos: share of node:n9: default 100 to 5";
        r#"{"kind":"repeatable","service":"stock","methods":["POST"]}"# =>
            "service stock: POST becomes repeatable; service stock: PUT is no longer repeatable";
        LEAVE_ARIMA => "data centre arima leaves";
        r#"{"kind":"return","leaving": [{"target":"n1"}]}"# => "target n1 returns";
        r#"{"kind":"measure","permille":5}"# => "measuring share: 0 to 5 permille";
        r#"{"kind":"restore","version":1}"# => "target n1 returns";
        r#"{"kind":"restore","version":0}"# =>
            "service stock: PUT is no longer repeatable; target n1 returns";
        r#"{"kind":"override"}"# => "overrides the version in force and lost records";
        r#"{"kind":"restore","version":7}"# => "version 7 is not among the recent versions";
        LEAVE => "the intent changes nothing";
        r#"{"kind":"return","leaving": [{"target":"n7"}]}"# => "the intent changes nothing";
        r#"{"kind":"measure","permille":1001}"# => "measuring share 1001 is above 1000 permille";
        r#"{"kind":"share","service":"stock","shares":{"node:n1":1001}}"# =>
            "share 1001 of node:n1 for service stock is above 1000";
        r#"{"kind":"share","service":"stock","shares":{"node:n1":0,"data_centre:pos":0}}"# =>
            "all shares of service stock are zero";
        r#"{"kind":"share","service":"","shares":{"node:n1":1}}"# =>
            "name \"\" is empty, longer than 128 bytes, or has control characters";
        r#"{"kind":"repeatable","service":"stock","methods":["put it"]}"# =>
            "method \"put it\" of service stock is not an HTTP method";
        r#"{"kind":"sharing"}"# => "malformed";
        r#"{"kind":"measure","permille":-1}"# => "malformed";
        r#"{"kind":"share","service":"stock","shares":{"n1":1}}"# => "malformed";
        r#"{"kind":"leave","leaving": [{"host":"arima"}]}"# => "malformed";
        r#"{"kind":"leave","leaving": [{"target":"n1"}],"until":1}"# => "malformed";
    };
    for (text, expected) in rows {
        let outcome = match serde_json::from_str(text).map(|i| replica.plan(&i, "ama", 1_000)) {
            Ok(Ok(plan)) => plan.changes.join("; "),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "malformed".to_owned(),
        };
        expect_eq!(outcome, expected, "{text}");
    }
    let plan = plan(&replica, LEAVE_ARIMA)?;
    let expected = [
        "service stock: 3 shares, 1 repeatable methods",
        "target n1 is leaving",
        "measuring share: 0 permille",
    ];
    expect_that!(plan.stays, container_eq(expected.map(str::to_owned)));
    Ok(())
}

/// Guards against the confirmation of a plan that was edited or has expired.
#[gtest]
fn changed_or_expired_plans_are_refused() -> Result<()> {
    let plan = plan(&ConfigReplica::new(), LEAVE)?;
    let expired = VerifyError::Expired {
        expires_at_unix_ms: 1_000,
    };
    expect_eq!(plan.verify(999), Ok(()));
    expect_eq!(plan.verify(1_000), Err(expired));
    let json = serde_json::to_string(&plan)?;
    expect_eq!(serde_json::from_str::<Plan>(&json)?.verify(0), Ok(()));
    let rows = rows! {
        "\"base\":null" => "\"base\":1";
        "\"overrides\":null" => "\"overrides\":0";
        "\"measuring_permille\":0" => "\"measuring_permille\":6";
        "target n1 leaves" => "target n2 leaves";
        "\"author\":\"ama\"" => "\"author\":\"esi\"";
        "ms\":1000" => "ms\":2000";
    };
    for (old, new) in rows {
        let changed = json.replace(old, new);
        expect_ne!(changed, json, "{old}");
        let verdict = serde_json::from_str::<Plan>(&changed)?.verify(0);
        expect_eq!(verdict, Err(VerifyError::Digest), "{old}");
    }
    Ok(())
}

/// Guards against a confirmation that is reported as void although its first copy is in
/// force, and against a void verdict that does not name the confirmation in force.
#[gtest]
fn verdicts_name_the_winner_and_duplicates() -> Result<()> {
    let mut replica = ConfigReplica::new();
    let winner = plan(&replica, LEAVE)?;
    let loser = plan(&replica, LEAVE_ARIMA)?;
    expect_eq!(confirm(&mut replica, &winner)?, Verdict::InForce);
    expect_eq!(confirm(&mut replica, &winner)?, Verdict::Duplicate);
    let expected = Verdict::Void {
        winner_id: winner.id,
        winner_author: "ama".to_owned(),
        winner_offset: 0,
        winner_summary: "target n1 leaves".to_owned(),
    };
    expect_eq!(confirm(&mut replica, &loser)?, expected);
    expect_eq!(confirm(&mut replica, &loser)?, Verdict::Duplicate);
    let decision = replica.decision(winner.id).or_fail()?;
    expect_eq!(decision.verdict, Verdict::InForce);
    expect_eq!(replica.decision(loser.id).or_fail()?.offset, 2);
    Ok(())
}

/// Guards against a restore that yields another content than was in force at the version.
#[gtest]
fn restore_returns_each_recent_content() -> Result<()> {
    let methods_off = r#"{"kind":"repeatable","service":"stock","methods":[]}"#;
    let measure = r#"{"kind":"measure","permille":9}"#;
    let mut replica = ConfigReplica::new();
    let mut contents: Vec<Content> = Vec::new();
    for intent in [
        METHODS,
        LEAVE,
        methods_off,
        measure,
        LEAVE_HOST,
        SHARES,
        METHODS,
    ] {
        let plan = plan(&replica, intent)?;
        confirm(&mut replica, &plan)?;
        contents.push(replica.content().clone());
    }
    for (version, content) in contents.iter().enumerate().take(6) {
        let intent = format!(r#"{{"kind":"restore","version":{version}}}"#);
        let restored = plan(&replica, &intent)?;
        expect_eq!(&restored.content, content, "version {version}");
    }
    Ok(())
}

/// Guards against traffic to the wrong targets: the share of a node takes precedence over
/// that of its data centre, and a target leaves by its own name, its host or its data
/// centre.
#[gtest]
fn weight_and_leaving_apply_to_the_right_targets() -> Result<()> {
    let replica = replica_after(&[SHARES, METHODS, LEAVE, LEAVE_HOST, LEAVE_ARIMA])?;
    let content = replica.content();
    let rows = [
        ("n1", "10.0.0.2", "pos", 70, true),
        ("n2", "10.0.0.2", "pos", 0, false),
        ("n3", "10.0.0.2", "pos", 20, false),
        ("n3", "10.0.0.2", "sando", 100, false),
        ("n3", "10.0.0.1", "sando", 100, true),
        ("n3", "::ffff:10.0.0.1", "sando", 100, true),
        ("n3", "10.0.0.2", "arima", 100, true),
    ];
    for (node, host, data_centre, weight, leaving) in rows {
        let host: IpAddr = host.parse()?;
        expect_eq!(content.weight("stock", node, data_centre), weight, "{node}");
        let is_leaving = content.is_leaving(node, host, data_centre);
        expect_eq!(is_leaving, leaving, "{node} {host}");
    }
    expect_eq!(content.weight("photos", "n1", "pos"), 100);
    expect_true!(content.is_repeatable("stock", "PUT"));
    expect_false!(content.is_repeatable("stock", "POST"));
    expect_false!(content.is_repeatable("photos", "PUT"));
    expect_eq!(content.measuring_permille(), 0);
    Ok(())
}

/// Guards against a service that loses its last target without a warning, or whose targets
/// all get weight zero.
#[gtest]
fn plan_warns_when_the_last_target_leaves() -> Result<()> {
    let replica = replica_after(&[SHARES, LEAVE])?;
    let target = |node, data_centre| KnownTarget {
        service: "stock",
        node,
        host_ip: IpAddr::from([10, 0, 0, 1]),
        data_centre,
    };
    let [n1, n2, n3] = [("n1", "pos"), ("n2", "arima"), ("n3", "pos")].map(|(n, d)| target(n, d));
    let rows = [
        (LEAVE_ARIMA, vec![n1, n2], true),
        (LEAVE_ARIMA, vec![n1, n2, n3], false),
        (LEAVE_HOST, vec![n1, n2, n3], true),
        (METHODS, vec![n1], false),
        (LEAVE_ARIMA, vec![], false),
    ];
    for (intent, targets, warned) in rows {
        let intent: Intent = serde_json::from_str(intent)?;
        let plan = replica.plan_with_targets(&intent, "ama", 1_000, &targets)?;
        expect_eq!(!plan.warnings.is_empty(), warned, "{intent:?} {targets:?}");
    }
    let zero = r#"{"kind":"share","service":"stock","shares":{"node:n1":0,"node:n7":5}}"#;
    let intent: Intent = serde_json::from_str(zero)?;
    expect_true!(
        replica
            .plan_with_targets(&intent, "ama", 1_000, &[n1])
            .is_err()
    );
    expect_true!(
        replica
            .plan_with_targets(&intent, "ama", 1_000, &[n1, n2])
            .is_ok()
    );
    Ok(())
}

/// Guards against a plan that does not list the targets that continue to take traffic.
#[gtest]
fn plans_list_the_targets_that_stay() -> Result<()> {
    let replica = ConfigReplica::new();
    let target = |service, node| KnownTarget {
        service,
        node,
        host_ip: IpAddr::from([10, 0, 0, 1]),
        data_centre: "pos",
    };
    let targets = [
        target("stock", "n1"),
        target("stock", "n2"),
        target("ledger", "n3"),
    ];
    let intent: Intent = serde_json::from_str(LEAVE)?;
    let plan = replica.plan_with_targets(&intent, "ama", 1_000, &targets)?;
    let expected = [
        "measuring share: 0 permille",
        "service ledger: all 1 targets stay in service",
        "service stock: in service as before: n2",
    ];
    expect_that!(plan.stays, container_eq(expected.map(str::to_owned)));
    Ok(())
}
