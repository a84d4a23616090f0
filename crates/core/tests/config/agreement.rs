//! Agreement of readers under any interleaving.

use googletest::prelude::*;
use plantainpost_core::config::{Batch, ConfigReplica, Content, Intent};
use proptest::prelude::*;

use super::world::{READERS, Step, World, batch};

fn step() -> impl Strategy<Value = Step> {
    let i = || 0..READERS;
    let offset = || 0..40_u64;
    prop_oneof![
        6 => (i(), i(), 0..80_u32).prop_map(|(at, r, n)| Step::Plan(at, r, n)),
        1 => (i(), i(), 0..80_u32).prop_map(|(at, r, n)| Step::Override(at, r, n)),
        8 => i().prop_map(Step::Confirm),
        2 => (i(), i()).prop_map(|(at, r)| Step::MakeCheckpoint(at, r)),
        2 => i().prop_map(Step::AppendCheckpoint),
        1 => Just(Step::Junk),
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

    /// Guards against any two readers that differ in version, content or decisions at
    /// the same `read_to`, and against a version that goes back.
    #[test]
    fn readers_agree_on_every_suffix(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
        }
    }

    /// Guards against a gap that no operator can close: after any history, an
    /// override by any reader brings all of them to the same version.
    #[test]
    fn an_override_unites_all_readers(
        steps in prop::collection::vec(step(), 1..80),
        reader in 0..READERS,
    ) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
        }
        world.step(&Step::ReadAll);
        world.step(&Step::Override(0, reader, 7));
        world.step(&Step::Confirm(0));
        world.step(&Step::ReadAll);
        let version = Some(world.log.next() - 1);
        for reader in &world.readers {
            prop_assert!(!reader.has_gap());
            prop_assert_eq!(reader.version(), version);
        }
    }
}

/// Guards against a difference that shows only once the bounded lists of a state
/// overflow: a reader from a checkpoint and one from the start stay equal.
#[gtest]
fn readers_agree_beyond_the_remembered_decisions() {
    let mut world = World::new();
    for n in 0..200_u32 {
        let place = n as usize % READERS;
        world.step(&Step::Plan(place, 0, n * 4));
        world.step(&Step::Confirm(place));
        // The second confirmation is a duplicate, or void once the first is forgotten.
        world.step(&Step::Confirm((n as usize + 1) % READERS));
        world.step(&Step::Read(0, usize::MAX));
        if n % 50 == 20 {
            world.step(&Step::MakeCheckpoint(0, 0));
            world.step(&Step::AppendCheckpoint(0));
            world.step(&Step::Trim(world.log.next() - 3));
            world.step(&Step::Restart(1));
        }
        world.step(&Step::Read(1, usize::MAX));
    }
    expect_eq!(world.readers[1].read_to(), world.log.next());
    expect_eq!(world.readers[1].recent_versions().count(), 16);
}

/// A world in which reader 0 has read three confirmations.
fn three_versions() -> World {
    let mut world = World::new();
    for n in [4, 8, 12] {
        world.step(&Step::Plan(0, 0, n));
        world.step(&Step::Confirm(0));
        world.step(&Step::Read(0, usize::MAX));
    }
    world
}

/// Guards against a broken peer or log that changes a reader, or goes unnoticed.
#[gtest]
fn foreign_states_and_batches_change_nothing() -> Result<()> {
    let world = three_versions();
    let json = serde_json::to_string(&world.readers[0].snapshot())?;
    let rows = rows! {
        "version beyond read_to", "\"version\":2" => "\"version\":3";
        "versions out of order", "\"version\":0" => "\"version\":1";
        "decision beyond read_to", "\"offset\":2" => "\"offset\":9";
        "lost confirmation", "last_confirmation\":2" => "last_confirmation\":null";
        "content", "\"measuring_permille\":12" => "\"measuring_permille\":1200";
    };
    for (name, old, new) in rows {
        let broken = json.replacen(old, new, 1);
        expect_ne!(broken, json, "{name}");
        let mut reader = ConfigReplica::new();
        expect_false!(reader.adopt_state(serde_json::from_str(&broken)?), "{name}");
        expect_eq!(reader.counters().invalid_states, 1, "{name}");
    }
    for (oldest, next, second) in [(0, 3, 2), (0, 2, 0), (0, 1, 1), (1, 2, 1)] {
        let mut reader = ConfigReplica::new();
        let mut broken = Batch {
            oldest,
            next,
            ..batch(0, &["", ""])
        };
        broken.records[1].offset = second;
        reader.apply(&broken);
        let shown = (reader.read_to(), reader.counters().malformed);
        expect_eq!(shown, (0, 1), "{broken:?}");
    }
    // A checkpoint of a reader that took the first record for a broken one.
    let mut reader = ConfigReplica::new();
    reader.apply(&batch(0, &[""]));
    let checkpoint = reader.checkpoint_record("node").encode()?;
    let mut reader = ConfigReplica::new();
    reader.apply(&batch(0, &[&world.log.records[0], &checkpoint]));
    let shown = (reader.version(), reader.counters().conflicts);
    expect_eq!(shown, (Some(0), 1));
    Ok(())
}

/// Guards against a log that lost its records and grew again: neither it nor a peer
/// that started on it takes a running node back.
#[gtest]
fn a_restarted_empty_log_reverts_nothing() -> Result<()> {
    let mut world = three_versions();
    let running = &mut world.readers[0];
    let state = running.snapshot();
    let mut fresh = World::new();
    let older = fresh.log.read(0, running.read_from(), 10);
    expect_true!(running.apply(&older).older);
    expect_eq!(running.snapshot(), state);
    // The new log has more records than the old one; their base is unknown to it.
    let plan = running.plan(&Intent::Measure { permille: 1 }, "ama", 1_000)?;
    for _ in 0..6 {
        let data = running.confirm_record(&plan, "ama", 1).encode()?;
        fresh.log.append(data);
    }
    let lost = fresh.log.read(6, 0, 10);
    expect_false!(fresh.readers[2].apply(&lost).version_changed);
    expect_false!(running.adopt_state(fresh.readers[2].snapshot()));
    expect_eq!(running.counters().conflicts, 1);
    expect_eq!(running.snapshot(), state);
    // The running node goes on where it was, and an override unites both.
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
    expect_eq!(world.readers[0].snapshot(), fresh.readers[2].snapshot());
    Ok(())
}
