//! Messages between nodes: types, framing and authentication.
//!
//! TCP connections carry requests in frames ([`frame`]) after a handshake with mutual
//! authentication ([`handshake`]). UDP carries the membership protocol and load probes in
//! authenticated datagrams ([`datagram`]). Messages are encoded with `postcard`.
//!
//! A request passes through two roles that a node can have: the *entry* accepts it from the
//! caller and selects a target; the *guard* on the host of that target admits or refuses it
//! and forwards it to the target.

pub mod auth;
pub mod datagram;
pub mod frame;
pub mod handshake;
pub mod message;
