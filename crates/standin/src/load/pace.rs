//! The arrivals of an open-loop run.

use std::{
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use snafu::ResultExt;
use tokio::sync::mpsc;

use super::LoadSettings;
use crate::{
    error::{Result, ThreadSnafu},
    target::exponential,
};

/// Starts the thread that sends the intended instant of each arrival.
///
/// A thread of its own is used because the timers of the runtime have a resolution of
/// 1 ms, which would be counted as latency.
pub(super) fn start(
    settings: &LoadSettings,
    rng: &mut StdRng,
) -> Result<mpsc::UnboundedReceiver<Instant>> {
    let (tx, rx) = mpsc::unbounded_channel();
    let mut rng = StdRng::seed_from_u64(rng.random());
    let mean = 1.0 / settings.rate;
    let length = Duration::from_millis(settings.duration_ms);
    thread::Builder::new()
        .name("standin-pace".to_owned())
        .spawn(move || {
            let start = Instant::now();
            let mut at = Duration::ZERO;
            loop {
                at += Duration::from_secs_f64(mean * exponential(&mut rng));
                if at >= length {
                    return;
                }
                let due = start + at;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if tx.send(due).is_err() {
                    return;
                }
            }
        })
        .context(ThreadSnafu)?;
    Ok(rx)
}
