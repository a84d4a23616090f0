//! Options of sockets.

use std::{io, os::fd::AsFd, time::Duration};

use rustix::net::sockopt;

/// Time without traffic after which a connection is probed. The system counts in seconds.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is closed.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Makes an idle connection fail when its peer is silent, such as behind a cut network.
///
/// `TCP_USER_TIMEOUT` is not set: it would also end connections whose peer reads slowly.
///
/// # Errors
///
/// Fails when the system refuses an option.
pub fn set_tcp_keepalive(socket: impl AsFd) -> io::Result<()> {
    let fd = socket.as_fd();
    sockopt::set_socket_keepalive(fd, true)?;
    sockopt::set_tcp_keepidle(fd, KEEP_ALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(fd, KEEP_ALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(fd, KEEP_ALIVE_PROBES)?;
    Ok(())
}
