//! Generates the send times of an open-loop run, with exponentially distributed gaps.

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

/// Starts a thread that sends the scheduled time of each request over the channel, at that time.
///
/// The timers of the async runtime have a resolution of 1 ms, which would be counted as latency, so
/// a separate thread sleeps until each send time.
pub(super) fn start_thread(
    settings: &LoadSettings,
    rng: &mut StdRng,
) -> Result<mpsc::UnboundedReceiver<Instant>> {
    let (tx, rx) = mpsc::unbounded_channel();
    let mut rng = StdRng::seed_from_u64(rng.random());
    let mean_gap_s = 1.0 / settings.rate;
    let duration = Duration::from_millis(settings.duration_ms);
    thread::Builder::new()
        .name("standin-arrival".to_owned())
        .spawn(move || {
            let start = Instant::now();
            let mut offset = Duration::ZERO;
            loop {
                offset += Duration::from_secs_f64(mean_gap_s * exponential(&mut rng));
                if offset >= duration {
                    return;
                }
                let scheduled_at = start + offset;
                thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
                if tx.send(scheduled_at).is_err() {
                    return;
                }
            }
        })
        .context(ThreadSnafu)?;
    Ok(rx)
}
