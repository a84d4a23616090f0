//! Memory of a node with many idle connections.

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use googletest::prelude::*;

use crate::{platform_fixture::PlatformFleet, uploads::process_memory_bytes};

/// Guards against a node that keeps a read buffer for each connection that is idle. Nodes have
/// hundreds of connections.
#[gtest]
fn idle_connections_hold_no_read_buffers() {
    const CONNECTIONS: usize = 600;
    /// A buffer that was used holds one page or more.
    const MAX_BYTES_EACH: u64 = 4 * 1024;
    let platform = PlatformFleet::start(1);
    platform.publish_route_list(4, &[("/safe/", "safe", 5_000)]);
    let addr = platform.hosts[0].callers;
    let id = platform.hosts[0].process.id();
    let body = "x".repeat(14 * 1024);
    let ask = || {
        let mut io = TcpStream::connect(addr).expect("the entry accepts");
        let head = format!(
            "POST /none/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        io.write_all(head.as_bytes()).expect("the entry reads");
        let mut answer = [0; 12];
        io.read_exact(&mut answer).expect("an answer");
        io
    };
    // Memory that the node needs once is not counted.
    let first: Vec<TcpStream> = (0..20).map(|_| ask()).collect();
    let before = process_memory_bytes(id, "VmRSS:");
    let idle: Vec<TcpStream> = (0..CONNECTIONS).map(|_| ask()).collect();
    let growth = process_memory_bytes(id, "VmRSS:").saturating_sub(before);
    println!("{} bytes for each connection", growth / CONNECTIONS as u64);
    expect_that!(growth / CONNECTIONS as u64, lt(MAX_BYTES_EACH));
    drop((first, idle));
}
