//! Writing to callers that may not read.

use tokio::{io::AsyncWriteExt, net::tcp::OwnedWriteHalf};

use super::response_writer::CallerGone;
use crate::node::Node;

/// Writes all bytes to a caller's connection.
///
/// # Errors
///
/// Returns an error if the connection fails, or takes no byte for the idle timeout. A caller that
/// never reads would otherwise keep its requests, and the slots of their targets, indefinitely.
pub(super) async fn write_to_caller(
    node: &Node,
    tx: &mut OwnedWriteHalf,
    bytes: &[u8],
) -> Result<(), CallerGone> {
    let mut unsent = bytes;
    while !unsent.is_empty() {
        let idle_ms = node.caller_limits().idle_timeout_ms;
        let stalled_at = node.now().saturating_add_millis(idle_ms);
        let written = node.clock.timeout_at(stalled_at, tx.write(unsent));
        match written.await {
            Some(Ok(count @ 1..)) => unsent = &unsent[count..],
            Some(Ok(0) | Err(_)) => return Err(CallerGone),
            None => {
                node.metrics.count("http.write_stalled");
                return Err(CallerGone);
            }
        }
    }
    Ok(())
}
