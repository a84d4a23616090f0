//! The audit trail while the log service does not answer.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use plantainpost_standin::log::LogFaults;

use crate::{
    fleet_fixture::{Fleet, host_specs},
    http_client::send_raw,
};

/// Bound on the audit entries that wait at a node.
const MAX_WAITING_ENTRIES: u64 = 1_024;

/// Time for which the queue is observed. At least one append is tried and given up in it:
/// entries wait up to 10 s for their append, which times out after 2 s.
const OBSERVATION_TIME: Duration = Duration::from_secs(13);

/// Guards against unbounded memory while the log service accepts appends and never answers:
/// entries of an append that timed out must fit back into the queue or be dropped.
#[gtest]
fn waiting_audit_entries_are_bounded() {
    let fleet = Fleet::start(&host_specs("stock", 1));
    fleet.log.set_faults(LogFaults {
        delay_ms: 60_000,
        ..Default::default()
    });
    let admin = fleet.nodes[0].admin;
    let body = r#"{"author":"ama","intent":{"kind":"measure","permille":9}}"#;
    let plan = format!(
        "POST /v1/plan HTTP/1.1\r\nhost: node\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let end = Instant::now() + OBSERVATION_TIME;
    let mut max_waiting = 0;
    while Instant::now() < end {
        for _ in 0..100 {
            send_raw(admin, plan.as_bytes());
        }
        let waiting = fleet.status(0)["audit_waiting"].as_u64();
        max_waiting = max_waiting.max(waiting.unwrap_or(0));
    }
    expect_that!(max_waiting, gt(MAX_WAITING_ENTRIES / 2), "the queue fills");
    expect_that!(max_waiting, le(MAX_WAITING_ENTRIES));
}
