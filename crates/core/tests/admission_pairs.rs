//! Pairs of faults at every stage of a request, checked by the model of the guard's
//! guarantees.

mod admission_model;

use admission_model::{Event, Model};

/// Guards against two consecutive faults, at any stage of a request, that break a guarantee
/// only together.
#[test]
fn pairs_of_faults_keep_the_guarantees() {
    let key = 0;
    let faults = [
        Event::Wait { millis: 1_000 },
        Event::Wait { millis: 2_200 },
        Event::Announce {
            port: 1,
            slots: 0,
            ttl_ms: 60_000,
            leaving: true,
        },
        Event::Announce {
            port: 1,
            slots: 1,
            ttl_ms: 10,
            leaving: false,
        },
        Event::Announce {
            port: 2,
            slots: 2,
            ttl_ms: 60_000,
            leaving: false,
        },
        Event::Withdraw,
        Event::Drain(true),
        Event::Close(true),
        Event::Close(false),
        Event::Hold { millis: 0 },
        Event::Hold { millis: 1_000 },
        Event::Offer { key, early_ms: 0 },
        Event::Offer { key, early_ms: 900 },
        Event::Dispatch { key },
        Event::Finish {
            key,
            outcome_index: 0,
            millis: 5,
        },
        Event::Finish {
            key,
            outcome_index: 2,
            millis: 5,
        },
        Event::Finish {
            key,
            outcome_index: 4,
            millis: 5,
        },
        Event::Cancel { key },
        Event::Fence { key, early_ms: 0 },
        Event::Fence { key, early_ms: 900 },
        Event::Expire,
    ];
    let offer = |key| Event::Offer { key, early_ms: 0 };
    let stages: [&[Event]; 6] = [
        &[],
        &[offer(key)],
        &[offer(1), offer(key)],
        &[offer(key), Event::Dispatch { key }],
        &[
            offer(key),
            Event::Dispatch { key },
            Event::Finish {
                key,
                outcome_index: 0,
                millis: 5,
            },
        ],
        &[Event::Fence { key, early_ms: 0 }],
    ];
    for stage in stages {
        for first in faults {
            for second in faults {
                let mut model = Model::new(false);
                model.announce(1, 1, 60_000, false);
                for event in stage.iter().copied().chain([first, second]) {
                    model.apply(event);
                }
                // A late copy of the request arrives after every pair.
                model.apply(offer(key));
                model.apply(Event::Dispatch { key });
                model.finish_all();
            }
        }
    }
}
