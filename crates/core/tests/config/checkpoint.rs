//! Tests of the times at which nodes write checkpoints.

use googletest::prelude::*;
use plantainpost_core::{
    config::{Batch, ConfigReplica, Intent, LogPosition},
    time::Instant,
};
use rand::{SeedableRng, rngs::SmallRng};

use super::harness::batch;

/// Returns a reader that has read one confirmation and, if `with_checkpoint`, a checkpoint
/// of it.
fn reader(with_checkpoint: bool) -> Result<ConfigReplica> {
    let mut reader = ConfigReplica::new();
    let plan = reader.plan(&Intent::Measure { permille: 1 }, "ama", 1)?;
    let data = reader.confirm_record(&plan, "ama", 1).encode()?;
    reader.apply(&batch(0, &[&data]));
    if with_checkpoint {
        let data = reader.checkpoint_record("node").encode()?;
        reader.apply(&batch(1, &[&data]));
    }
    Ok(reader)
}

/// Returns whether a reader, called once at time zero, writes a checkpoint then or within
/// a minute from `start_s`, if the log holds the offsets from `oldest` to `next`.
fn writes_checkpoint(reader: &mut ConfigReplica, start_s: u64, oldest: u64, next: u64) -> bool {
    let mut rng = SmallRng::seed_from_u64(1);
    let position = LogPosition { oldest, next };
    (0..1).chain(start_s..start_s + 60).any(|s| {
        let now = Instant::from_millis(s * 1_000);
        reader.checkpoint_due(now, &position, 1, &mut rng)
    })
}

/// Guards against a log without a usable checkpoint, and against checkpoints that are not
/// needed or come from a state that may be behind.
#[gtest]
fn aged_checkpoints_are_renewed() -> Result<()> {
    let rows = rows! {
        "none yet", reader(false)?, 0, 0, 1 => true;
        "nothing confirmed", ConfigReplica::new(), 0, 0, 0 => false;
        "fresh", reader(true)?, 0, 1, 2 => false;
        "trimmed", reader(true)?, 0, 2, 2 => true;
        "old", reader(true)?, 600, 1, 2 => true;
        "behind the log", reader(false)?, 0, 0, 2 => false;
        "log returned older data", reader(true)?, 600, 0, 1 => false;
    };
    for (name, mut reader, start_s, oldest, next, expected) in rows {
        let written = writes_checkpoint(&mut reader, start_s, oldest, next);
        expect_eq!(written, expected, "{name}");
    }
    let mut long = reader(true)?;
    (2..201).for_each(|offset| drop(long.apply(&batch(offset, &[""]))));
    expect_true!(writes_checkpoint(&mut long, 0, 1, 201), "many records");
    let mut gap = reader(false)?;
    gap.apply(&Batch {
        oldest: 5,
        next: 5,
        ..Batch::default()
    });
    expect_false!(writes_checkpoint(&mut gap, 0, 5, 5), "gap");
    Ok(())
}

/// Guards against a fleet in which every node writes a checkpoint. All nodes read each
/// checkpoint of 60 KB, which may take a tenth of 21 KB/s over its age of 10 minutes: 21
/// writers.
#[gtest]
fn newer_checkpoint_cancels_pending_writes() -> Result<()> {
    const MEMBERS: usize = 860;
    for seed in 0..5 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet: Vec<ConfigReplica> =
            (0..MEMBERS).map(|_| reader(false)).collect::<Result<_>>()?;
        let data = fleet[0].checkpoint_record("node").encode()?;
        let mut writers = 0;
        let mut seen_at = None;
        for s in 0..60 {
            let now = Instant::from_millis(s * 1_000);
            if seen_at == Some(s) {
                fleet
                    .iter_mut()
                    .for_each(|reader| drop(reader.apply(&batch(1, &[&data]))));
            }
            let next = fleet[0].read_to();
            let position = LogPosition { oldest: 0, next };
            for reader in &mut fleet {
                if reader.checkpoint_due(now, &position, MEMBERS, &mut rng) {
                    writers += 1;
                    // All nodes read a new record within 4 s.
                    seen_at = seen_at.or(Some(s + 4));
                }
            }
        }
        println!("seed {seed}: {writers} writers of {MEMBERS}");
        expect_that!(writers, all![ge(1), le(21)]);
    }
    Ok(())
}
