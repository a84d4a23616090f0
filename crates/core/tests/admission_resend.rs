//! Requests that a guard sends to its target once more.

use std::net::SocketAddr;

use googletest::prelude::*;
use plantainpost_core::{
    admission::{
        Announcement, ExchangeOutcome, Guard, GuardSettings, Offer, RequestKey, ResendSettings,
        TargetInstance, Urgency,
    },
    ids::RequestId,
    time::Instant,
};

/// Announces a target, always at the same address.
fn announce(guard: &mut Guard, instance: TargetInstance<'_>, service: &str) {
    guard.announce(
        Instant::from_millis(0),
        Announcement {
            instance,
            service,
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: 1,
            connections: 1,
            expires: Instant::from_millis(60_000),
            leaving: false,
        },
    );
}

/// Guards against a target that loses answers and gets a large part of its requests twice, for which no
/// retry budget is charged.
#[gtest]
fn requests_sent_once_more_are_a_small_share_of_all() {
    let mut guard = Guard::new(GuardSettings {
        resends: ResendSettings {
            credit_percent: 5,
            max_saved_percent: 100,
        },
        ..GuardSettings::default()
    });
    announce(&mut guard, TargetInstance::default(), "stock");
    let mut resent = 0;
    for id in 0..1_000 {
        let now = Instant::from_millis(id as u64 * 10);
        let key = RequestKey {
            id: RequestId(id),
            attempt: 0,
        };
        let offer = Offer {
            key,
            service: "stock",
            deadline: now.saturating_add_millis(1_000),
            has_alternative: false,
            answer_by: None,
            urgency: Urgency::default(),
        };
        guard.offer(now, &offer);
        guard.dispatch(now, key);
        resent += u32::from(guard.try_resend(now, guard.target_generation()));
        let outcome = ExchangeOutcome::Completed {
            server_error: false,
        };
        guard.finish(now, key, outcome, 1_000);
    }
    // At most one saved, and 5 % of 1,000.
    expect_that!(resent, all![ge(45), le(51)]);
}

/// Guards against a request that is sent once more to an address which another target has meanwhile, and
/// runs there although that one belongs to another service.
#[gtest]
fn request_is_not_sent_once_more_to_the_next_target_at_its_address() {
    let mut guard = Guard::new(GuardSettings::default());
    announce(&mut guard, TargetInstance::default(), "stock");
    let generation = guard.target_generation();
    let now = Instant::from_millis(1);
    expect_true!(guard.try_resend(now, generation));
    let next = TargetInstance {
        id: "next",
        ..Default::default()
    };
    announce(&mut guard, next, "orders");
    expect_false!(guard.try_resend(now, generation));
    expect_false!(guard.is_open_for_resend(generation));
}
