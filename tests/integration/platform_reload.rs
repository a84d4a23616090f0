//! Reloads of settings files that are unfinished, unreadable or of another node.

use std::fs;

use googletest::prelude::*;
use plantainpost_standin::process::{Signal, wait_until};

use crate::{
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange, header},
};

/// Returns the value of a metric of a node, or zero if it has never been counted.
pub(crate) fn metric(platform: &PlatformFleet, i: usize, name: &str) -> u64 {
    let request = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
    let text = exchange(platform.hosts[i].metrics, request);
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
    value.unwrap_or_default()
}

/// Sends SIGHUP to a node and waits until it has read its settings.
pub(crate) fn reload(platform: &PlatformFleet, i: usize) {
    let total = || {
        let names = [
            "plantainpost_settings_reload",
            "plantainpost_settings_reload_error",
        ];
        names
            .map(|name| metric(platform, i, name))
            .iter()
            .sum::<u64>()
    };
    let before = total();
    let hangup = platform.hosts[i].process.signal(Signal::Hangup);
    hangup.expect("the process runs");
    wait_until("the settings are read", WAIT_TIMEOUT, || total() > before).expect("a reload");
}

/// Guards against settings that come into force although their file is half written, gone or another
/// node's: requests would carry a wrong origin. The old ones stay in force until the file is whole,
/// and operators see which ones a node runs with.
#[gtest]
fn unfinished_settings_file_changes_nothing() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start(2);
    platform.publish_routes(4);
    platform.announce(0, &target, "i-1", 1, "ready");
    platform.wait_readyz(0, "200");
    let file = platform.hosts[0].settings.clone();
    let whole = fs::read_to_string(&file).expect("a settings file");
    let other = fs::read_to_string(&platform.hosts[1].settings).expect("a settings file");
    let last_line = whole.trim_end().rfind('\n').expect("several lines");
    let cuts = whole.match_indices('\n').map(|(at, _)| at + 1);
    let cuts = cuts.filter(|at| *at <= last_line);
    let mut texts: Vec<(String, Option<String>)> = cuts
        .map(|at| {
            (
                format!("cut after {at} bytes"),
                Some(whole[..at].to_owned()),
            )
        })
        .collect();
    let other = other.replace("service = counter", "service = wrong");
    texts.push(("of another node".to_owned(), Some(other)));
    let without_service = whole.replace("service = counter\n", "");
    texts.push(("without service".to_owned(), Some(without_service)));
    for line in ["grace = 6 s\n", "fleet_slack = 50\n"] {
        texts.push((format!("without {line}"), Some(whole.replace(line, ""))));
    }
    texts.push(("empty".to_owned(), Some(String::new())));
    texts.push(("gone".to_owned(), None));
    let refused = texts.len() as u64;
    for (name, text) in texts {
        match text {
            Some(text) => fs::write(&file, text).expect("the file can be written"),
            None => fs::remove_file(&file).expect("the file can be removed"),
        }
        reload(&platform, 0);
        let text = platform.get(0, "/safe/1", "r1");
        expect_that!(text, starts_with("HTTP/1.1 200"), "{name}");
        let heads = target.received_heads();
        let caller = heads.last().map(|head| header(head, "plantainpost-caller"));
        expect_that!(caller, some(eq("counter")), "{name}");
    }
    expect_that!(
        metric(&platform, 0, "plantainpost_settings_reload_error"),
        ge(refused)
    );
    let reloads = metric(&platform, 0, "plantainpost_settings_reload");
    fs::write(&file, whole.replace("service = counter", "service = desk")).expect("a file");
    reload(&platform, 0);
    // The change may also be noticed before the signal.
    expect_that!(
        metric(&platform, 0, "plantainpost_settings_reload"),
        all!(ge(reloads + 1), le(reloads + 2))
    );
    platform.get(0, "/safe/1", "r2");
    let heads = target.received_heads();
    let caller = heads.last().map(|head| header(head, "plantainpost-caller"));
    expect_that!(caller, some(eq("desk")));
    expect_that!(metric(&platform, 0, "plantainpost_routes_version"), eq(4));
    expect_that!(
        metric(&platform, 0, "plantainpost_routes_in_force_unix_s"),
        gt(0)
    );
}

/// Guards against a change of the settings that goes unnoticed because the node gets no signal: requests
/// would name the old service as their origin.
#[gtest]
fn settings_that_change_without_a_signal_come_into_force() {
    let target = ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
    let platform = PlatformFleet::start_with_target(&target);
    let origin = || {
        platform.get(0, "/safe/1", "r1");
        let heads = target.received_heads();
        let origin = heads.last().map(|head| header(head, "plantainpost-caller"));
        origin.unwrap_or_default().to_owned()
    };
    expect_that!(origin(), eq("counter"));
    let file = &platform.hosts[0].settings;
    let whole = fs::read_to_string(file).expect("a settings file");
    let changed = whole.replace("service = counter", "service = desk");
    let (unfinished, _) = changed.split_once("[platform]").expect("a section");
    fs::write(file, unfinished).expect("the file can be written");
    wait_until("the unfinished file is refused", WAIT_TIMEOUT, || {
        metric(&platform, 0, "plantainpost_settings_reload_error") > 0
    })
    .expect("the change is noticed");
    expect_that!(origin(), eq("counter"));
    fs::write(file, changed).expect("the file can be written");
    wait_until("the new service", WAIT_TIMEOUT, || origin() == "desk")
        .expect("the change is noticed");
}
