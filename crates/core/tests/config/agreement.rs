//! Agreement of readers under random interleavings of steps, and after faults of the log.

use googletest::prelude::*;
use plantainpost_core::config::{Adoption, Batch, ConfigReplica, Content, Intent};
use proptest::prelude::*;

use super::harness::{LogHarness, READERS, Step, batch};

fn any_step() -> impl Strategy<Value = Step> {
    let i = || 0..READERS;
    let offset = || 0..40_u64;
    prop_oneof![
        6 => (i(), i(), 0..80_u32).prop_map(|(at, r, n)| Step::Plan(at, r, n)),
        1 => (i(), i(), 0..80_u32).prop_map(|(at, r, n)| Step::Override(at, r, n)),
        8 => i().prop_map(Step::Confirm),
        2 => (i(), i()).prop_map(|(at, r)| Step::MakeCheckpoint(at, r)),
        2 => i().prop_map(Step::AppendCheckpoint),
        1 => Just(Step::AppendJunk),
        2 => offset().prop_map(Step::Trim),
        10 => (i(), 1..9_usize).prop_map(|(r, max)| Step::Read(r, max)),
        2 => (i(), offset()).prop_map(|(r, from)| Step::ReadFrom(r, from)),
        2 => (i(), offset()).prop_map(|(r, next)| Step::ReadOlder(r, next)),
        3 => (i(), i()).prop_map(|(r, peer)| Step::Adopt(r, peer)),
        1 => i().prop_map(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against two readers that differ in version, content or decisions at the same
    /// `read_to`, and against a version that decreases.
    #[test]
    fn readers_agree_after_any_steps(steps in prop::collection::vec(any_step(), 1..120)) {
        let mut harness = LogHarness::new();
        for step in &steps {
            harness.step(step);
        }
    }

    /// Guards against a gap that no operator can close: after any history, an override by
    /// any reader must bring all readers to the same version.
    #[test]
    fn override_brings_all_readers_to_one_version(
        steps in prop::collection::vec(any_step(), 1..80),
        reader in 0..READERS,
    ) {
        let mut harness = LogHarness::new();
        for step in &steps {
            harness.step(step);
        }
        harness.step(&Step::ReadAll);
        harness.step(&Step::Override(0, reader, 7));
        harness.step(&Step::Confirm(0));
        harness.step(&Step::ReadAll);
        let version = Some(harness.log.next() - 1);
        for reader in &harness.readers {
            prop_assert!(!reader.has_gap());
            prop_assert_eq!(reader.version(), version);
        }
    }
}

/// Guards against readers that differ only after the bounded lists of a state overflow: a
/// reader that starts from a checkpoint must stay equal to one that read all records.
#[gtest]
fn readers_agree_after_the_bounded_lists_overflow() {
    let mut harness = LogHarness::new();
    for n in 0..200_u32 {
        let slot = n as usize % READERS;
        harness.step(&Step::Plan(slot, 0, n * 4));
        harness.step(&Step::Confirm(slot));
        // The second confirmation is a duplicate, or void once the decision on the first is dropped.
        harness.step(&Step::Confirm((n as usize + 1) % READERS));
        harness.step(&Step::Read(0, usize::MAX));
        if n % 50 == 20 {
            harness.step(&Step::MakeCheckpoint(0, 0));
            harness.step(&Step::AppendCheckpoint(0));
            harness.step(&Step::Trim(harness.log.next() - 3));
            harness.step(&Step::Restart(1));
        }
        harness.step(&Step::Read(1, usize::MAX));
    }
    expect_eq!(harness.readers[1].read_to(), harness.log.next());
    expect_eq!(harness.readers[1].recent_versions().count(), 16);
}

/// Returns a harness in which reader 0 has read three confirmations.
fn harness_with_three_versions() -> LogHarness {
    let mut harness = LogHarness::new();
    for n in [4, 8, 12] {
        harness.step(&Step::Plan(0, 0, n));
        harness.step(&Step::Confirm(0));
        harness.step(&Step::Read(0, usize::MAX));
    }
    harness
}

/// Guards against an invalid state of a peer, an inconsistent batch or a contradicting
/// checkpoint that changes a reader or is not counted.
#[gtest]
fn invalid_states_and_batches_are_rejected() -> Result<()> {
    let harness = harness_with_three_versions();
    let json = serde_json::to_string(&harness.readers[0].snapshot())?;
    let rows = rows! {
        "version beyond read_to", "\"version\":2" => "\"version\":3";
        "versions out of order", "\"version\":0" => "\"version\":1";
        "decision beyond read_to", "\"offset\":2" => "\"offset\":9";
        "lost confirmation", "last_confirmation\":2" => "last_confirmation\":null";
        "content", "\"measuring_permille\":12" => "\"measuring_permille\":1200";
    };
    for (name, old, new) in rows {
        let invalid = json.replacen(old, new, 1);
        expect_ne!(invalid, json, "{name}");
        let mut reader = ConfigReplica::new();
        expect_eq!(
            reader.adopt_state(serde_json::from_str(&invalid)?),
            Adoption::Invalid,
            "{name}"
        );
        expect_eq!(reader.counters().invalid_states, 1, "{name}");
    }
    for (oldest, next, second) in [(0, 3, 2), (0, 2, 0), (0, 1, 1), (1, 2, 1)] {
        let mut reader = ConfigReplica::new();
        let mut invalid = Batch {
            oldest,
            next,
            ..batch(0, &["", ""])
        };
        invalid.records[1].offset = second;
        reader.apply(&invalid);
        let observed = (reader.read_to(), reader.counters().malformed);
        expect_eq!(observed, (0, 1), "{invalid:?}");
    }
    // A checkpoint of a reader that saw an invalid record in place of the first one.
    let mut reader = ConfigReplica::new();
    reader.apply(&batch(0, &[""]));
    let checkpoint = reader.checkpoint_record("node").encode()?;
    let mut reader = ConfigReplica::new();
    reader.apply(&batch(0, &[&harness.log.records[0], &checkpoint]));
    let observed = (reader.version(), reader.counters().conflicts);
    expect_eq!(observed, (Some(0), 1));
    Ok(())
}

/// Guards against a log that lost its records and grew again: neither the log nor a peer
/// that started with it may take a running node back to an older state.
#[gtest]
fn restarted_empty_log_does_not_revert_readers() -> Result<()> {
    let mut harness = harness_with_three_versions();
    let running = &mut harness.readers[0];
    let state = running.snapshot();
    let mut fresh = LogHarness::new();
    let older = fresh.log.read(0, running.read_from(), 10);
    expect_true!(running.apply(&older).older);
    expect_eq!(running.snapshot(), state);
    // The new log gets more records than the old one had. Their base is not in the new log.
    let plan = running.plan(&Intent::Measure { permille: 1 }, "ama", 1_000)?;
    for _ in 0..6 {
        let data = running.confirm_record(&plan, "ama", 1).encode()?;
        fresh.log.append(data);
    }
    let lost = fresh.log.read(6, 0, 10);
    expect_false!(fresh.readers[2].apply(&lost).version_changed);
    let adoption = running.adopt_state(fresh.readers[2].snapshot());
    expect_eq!(adoption, Adoption::Conflict);
    expect_eq!(running.counters().conflicts, 1);
    expect_eq!(running.snapshot(), state);
    // The running node continues at its offset, and an override makes both readers agree.
    let later = fresh.log.read(6, running.read_from(), 10);
    running.apply(&later);
    expect_eq!(running.version(), Some(3));
    let content = Some(Content::default());
    let plan = running.plan(&Intent::Override { content }, "ama", 1_000)?;
    let data = running.confirm_record(&plan, "ama", 1).encode()?;
    fresh.log.append(data);
    for reader in [running, &mut fresh.readers[2]] {
        let batch = fresh.log.read(7, reader.read_from(), 10);
        expect_true!(reader.apply(&batch).version_changed);
    }
    expect_eq!(harness.readers[0].snapshot(), fresh.readers[2].snapshot());
    Ok(())
}
