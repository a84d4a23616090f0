//! Memory of a node per open connection of a caller.

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

use crate::{Done, args::Connections};

const READY: Duration = Duration::from_secs(20);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: stock\r\n\r\n";

/// Runs the measurement.
pub(crate) fn run(args: &Connections) -> Done {
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
    let fleet = Fleet::start(&settings, READY)?;
    let node = &fleet.nodes[0];
    println!("connections: resident KiB, descriptors");
    let mut open = Vec::new();
    for step in 0..=args.steps {
        while open.len() < step * args.per_step {
            open.push(connect(node.callers)?);
        }
        let usage = Usage::of(node.process.id());
        let (kib, descriptors) = (usage.resident_kib, usage.descriptors);
        println!("{}: {kib}, {descriptors}", open.len());
    }
    Ok(())
}

/// Opens a connection and lets one request through, so that its buffers are in use.
fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let mut io = TcpStream::connect(addr)?;
    io.write_all(REQUEST)?;
    let mut buf = [0; 4096];
    let _ = io.read(&mut buf)?;
    Ok(io)
}
