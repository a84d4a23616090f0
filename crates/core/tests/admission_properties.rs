//! Random event sequences, checked by the model of the guard's guarantees.

mod admission_model;

use admission_model::{Event, Model, OUTCOMES};
use proptest::prelude::*;

fn event() -> impl Strategy<Value = Event> {
    let key = || 0..16_u8;
    let early_ms = || prop_oneof![Just(0_u64), 0..1_000_u64];
    prop_oneof![
        3 => (0..300_u64).prop_map(|millis| Event::Wait { millis }),
        2 => (1..3_u16, 0..4_u32, 1..2_000_u64, prop::bool::weighted(0.1)).prop_map(
            |(port, slots, ttl_ms, leaving)| Event::Announce { port, slots, ttl_ms, leaving }
        ),
        1 => Just(Event::Withdraw),
        1 => prop::bool::weighted(0.2).prop_map(Event::Drain),
        1 => prop::bool::weighted(0.4).prop_map(Event::Close),
        1 => (0_u64..1_000).prop_map(|millis| Event::Hold { millis }),
        10 => (key(), early_ms()).prop_map(|(key, early_ms)| Event::Offer { key, early_ms }),
        8 => key().prop_map(|key| Event::Dispatch { key }),
        5 => (key(), 0..OUTCOMES.len(), 1..50_u64)
            .prop_map(|(key, outcome_index, millis)| Event::Finish { key, outcome_index, millis }),
        2 => key().prop_map(|key| Event::Cancel { key }),
        3 => (key(), early_ms()).prop_map(|(key, early_ms)| Event::Fence { key, early_ms }),
        2 => Just(Event::Expire),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a request that runs twice or after it was fenced, in-flight requests
    /// above the limit, a request without exactly one outcome, and a record table that grows
    /// without bound.
    #[test]
    fn guarantees_hold_for_any_event_sequence(
        events in prop::collection::vec(event(), 1..200),
        sheds_load in any::<bool>(),
    ) {
        let mut model = Model::new(sheds_load);
        model.announce(1, 2, 1_500, false);
        for event in events {
            model.apply(event);
        }
        model.finish_all();
    }
}
