//! What callers are told about single requests whose target or guard fails.

use std::{cell::RefCell, time::Duration};

use googletest::prelude::*;
use plantainpost_standin::{
    proxy::ProxyFaults,
    target::{Fail, TargetFaults},
};

use crate::{
    rows::Link,
    util::{Fleet, hosts, outcome, request_by},
};

/// Guards against "not run" for a request of which an earlier attempt may have run: the
/// first guard's target closes after the work, and the other guard can't be reached.
#[gtest]
fn one_unknown_attempt_makes_the_outcome_unknown() {
    let links: RefCell<Vec<Link>> = RefCell::default();
    let fleet = Fleet::start_with(&hosts("stock", 2), |i, text| {
        links.borrow_mut().push(Link::start(text, i as u64));
    });
    fleet.targets[0].set_faults(TargetFaults {
        fail: Fail::CloseAfterWork,
        ..Default::default()
    });
    links.borrow()[1].tcp.set_faults(ProxyFaults {
        refuse: true,
        ..Default::default()
    });
    let mut met = 0;
    for number in 0..20 {
        let nonce = format!("unknown-{number}");
        let answer = request_by(
            fleet.nodes[0].callers,
            ("GET", "stock"),
            (&nonce, 2_000),
            "",
        );
        if fleet.targets[0].executions(&nonce) > 0 {
            met += 1;
            expect_that!(outcome(&answer), eq("unknown"), "{answer}");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    expect_that!(met, ge(1), "no attempt reached the target");
}
