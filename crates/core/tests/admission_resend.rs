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
    guard.announce(
        Instant::from_millis(0),
        Announcement {
            instance: TargetInstance::default(),
            service: "stock",
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: 1,
            connections: 1,
            expires: Instant::from_millis(60_000),
            leaving: false,
        },
    );
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
        resent += u32::from(guard.try_resend(now));
        let outcome = ExchangeOutcome::Completed {
            server_error: false,
        };
        guard.finish(now, key, outcome, 1_000);
    }
    // At most one saved, and 5 % of 1,000.
    expect_that!(resent, all![ge(45), le(51)]);
}
