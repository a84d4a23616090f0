//! Messages between nodes: types, framing and authentication.
//!
//! TCP carries requests in frames ([`frame`]) after a mutual handshake
//! ([`handshake`]). UDP carries membership and load probes in sealed datagrams
//! ([`datagram`]). Both are encoded with `postcard`.

pub mod auth;
pub mod datagram;
pub mod frame;
pub mod handshake;
pub mod message;
