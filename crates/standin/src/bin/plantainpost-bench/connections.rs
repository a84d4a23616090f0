//! Measures memory and file descriptors of a node by number of open caller connections.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use plantainpost_standin::{
    fleet::{Fleet, FleetSettings, Host},
    target::TargetSettings,
    usage::Usage,
};

use crate::{BenchResult, args::Connections};

const READY_TIMEOUT: Duration = Duration::from_secs(20);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: stock\r\n\r\n";

/// Opens the connections in steps and prints the usage of the node after each.
pub(crate) fn run(args: &Connections) -> BenchResult {
    let host = |name: &str| Host {
        name: name.to_owned(),
        data_centre: "pos".to_owned(),
        target: TargetSettings::default(),
    };
    let settings = FleetSettings {
        binary: args.binary()?,
        hosts: vec![host("entry"), host("guard")],
        ..Default::default()
    };
    let fleet = Fleet::start(&settings, READY_TIMEOUT)?;
    let node = &fleet.nodes[0];
    println!("connections: resident KiB, descriptors");
    let mut connections = Vec::new();
    for step in 0..=args.steps {
        while connections.len() < step * args.per_step {
            connections.push(open_used_connection(node.callers)?);
        }
        let usage = Usage::of(node.process.id());
        let (kib, descriptors) = (usage.resident_kib, usage.descriptors);
        println!("{}: {kib}, {descriptors}", connections.len());
    }
    Ok(())
}

/// Opens a connection and sends one request over it, so that the node allocates its buffers.
fn open_used_connection(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let mut io = TcpStream::connect(addr)?;
    io.write_all(REQUEST)?;
    let mut buf = [0; 4096];
    let _ = io.read(&mut buf)?;
    Ok(io)
}
