//! Noticing that a caller has closed a connection which is not being read.

use tokio::{io::Interest, net::tcp::OwnedReadHalf};

use crate::clock::Clock;

/// Interval between checks whether a caller has closed a connection that is not being read, in
/// milliseconds.
const CLOSE_CHECK_INTERVAL_MS: u64 = 100;

/// Waits until the caller closes or resets the connection, without reading from it.
pub(super) async fn wait_until_closed(clock: Clock, rx: &OwnedReadHalf) {
    // Unread bytes keep the socket readable, so no event announces the close behind them.
    while let Ok(ready) = rx.ready(Interest::READABLE).await
        && !ready.is_read_closed()
    {
        let next_check = clock.now().saturating_add_millis(CLOSE_CHECK_INTERVAL_MS);
        clock.sleep_until(next_check).await;
    }
}
