//! Socket options.

use std::{io, os::fd::AsFd, time::Duration};

use rustix::net::sockopt;

/// Idle time before the first keep-alive probe. The kernel counts in whole seconds.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two keep-alive probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unacknowledged probes after which the connection fails.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Enables TCP keep-alive, so that an idle connection fails when its peer is unreachable,
/// for example after a network partition.
///
/// `TCP_USER_TIMEOUT` is not set: it would also close connections whose peer reads slowly.
///
/// # Errors
///
/// Returns an error if the kernel rejects an option.
pub fn set_tcp_keepalive(socket: impl AsFd) -> io::Result<()> {
    let fd = socket.as_fd();
    sockopt::set_socket_keepalive(fd, true)?;
    sockopt::set_tcp_keepidle(fd, KEEP_ALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(fd, KEEP_ALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(fd, KEEP_ALIVE_PROBES)?;
    Ok(())
}
