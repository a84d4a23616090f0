//! Options of sockets.

use std::{io, os::fd::AsFd, time::Duration};

use rustix::net::sockopt;

/// Time without traffic after which a connection is probed. The system counts in seconds.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is closed.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Makes a connection fail when its peer is silent: data that is not acknowledged within
/// `user_timeout_ms` ends it, and so do unanswered probes of an idle connection.
///
/// Without this a connection through a cut network hangs until a deadline of the caller.
///
/// # Errors
///
/// Fails when the system refuses an option.
pub fn set_timeouts(socket: impl AsFd, user_timeout_ms: u32) -> io::Result<()> {
    let fd = socket.as_fd();
    sockopt::set_tcp_user_timeout(fd, user_timeout_ms)?;
    sockopt::set_socket_keepalive(fd, true)?;
    sockopt::set_tcp_keepidle(fd, KEEP_ALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(fd, KEEP_ALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(fd, KEEP_ALIVE_PROBES)?;
    Ok(())
}
