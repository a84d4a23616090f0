//! The TCP proxy and the UDP relay.

use std::{
    collections::BTreeSet,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_standin::proxy::{Proxy, ProxyFaults, Relay, RelayFaults, RelaySettings};

/// Longest wait for bytes that must come.
const LIMIT: Duration = Duration::from_secs(5);

/// Wait for bytes that must not come.
const SILENCE: Duration = Duration::from_millis(150);

/// A TCP server that sends back what it receives. Its threads end with the process.
fn echo() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            thread::spawn(move || std::io::copy(&mut &io, &mut &io));
        }
    });
    Ok(address)
}

/// Sends bytes through the proxy and returns those that come back within `limit`, or until
/// the connection ends; and whether it ended.
fn through(io: &mut TcpStream, data: &[u8], limit: Duration) -> (Vec<u8>, bool) {
    let mut back = Vec::new();
    if io.write_all(data).is_err() {
        return (back, true);
    }
    let mut buf = [0; 4096];
    let deadline = Instant::now() + limit;
    while back.len() < data.len() && Instant::now() < deadline {
        drop(io.set_read_timeout(Some(Duration::from_millis(10))));
        match io.read(&mut buf) {
            Ok(0) => return (back, true),
            Ok(len) => back.extend_from_slice(&buf[..len]),
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return (back, true),
        }
    }
    (back, false)
}

/// Guards against switches of the proxy without effect, or with an effect on other bytes.
#[gtest]
fn each_switch_of_the_proxy_shows() -> Result<()> {
    let no = ProxyFaults::default;
    // Each row: the switches, the bytes that come back of 1000, and whether the connection
    // ends.
    let rows = [
        (no(), 1000, false),
        (
            ProxyFaults {
                hold_to_server: true,
                ..no()
            },
            0,
            false,
        ),
        (
            ProxyFaults {
                hold_to_client: true,
                ..no()
            },
            0,
            false,
        ),
        (
            ProxyFaults {
                close_new_connections: true,
                ..no()
            },
            0,
            true,
        ),
        (
            ProxyFaults {
                cut_after_bytes_to_server: Some(100),
                ..no()
            },
            100,
            true,
        ),
        (
            ProxyFaults {
                cut_after_bytes_to_client: Some(100),
                ..no()
            },
            100,
            true,
        ),
        (
            ProxyFaults {
                cut_after_bytes_to_server: Some(0),
                ..no()
            },
            0,
            true,
        ),
    ];
    let server = echo()?;
    for (faults, bytes, ends) in rows {
        let proxy = Proxy::start(server)?;
        proxy.set_faults(faults.clone());
        let mut io = TcpStream::connect(proxy.address())?;
        let limit = if bytes == 0 && !ends { SILENCE } else { LIMIT };
        let (back, ended) = through(&mut io, &[7; 1000], limit);
        // A cut may overtake bytes on their way back.
        if faults.cut_after_bytes_to_server.is_some() {
            expect_that!(back.len(), le(bytes), "{faults:?}");
            expect_that!(proxy.bytes_to_server(), eq(bytes as u64), "{faults:?}");
        } else {
            expect_that!(back.len(), eq(bytes), "{faults:?}");
        }
        expect_that!(ended, eq(ends), "{faults:?}");
        // Held bytes are not lost.
        if faults.hold_to_server || faults.hold_to_client {
            proxy.set_faults(no());
            let mut back = [0; 1000];
            io.set_read_timeout(Some(LIMIT))?;
            expect_that!(io.read_exact(&mut back).is_ok(), eq(true), "{faults:?}");
        }
    }
    Ok(())
}

/// Guards against a cut that leaves connections open or the proxy unusable, and against a
/// half-closed connection that loses its answer.
#[gtest]
fn a_cut_ends_connections_and_a_half_close_does_not() -> Result<()> {
    let proxy = Proxy::start(echo()?)?;
    let mut io = TcpStream::connect(proxy.address())?;
    verify_that!(through(&mut io, b"before", LIMIT).0, eq(b"before"))?;
    proxy.cut_connections();
    verify_that!(through(&mut io, b"after", LIMIT).1, eq(true))?;

    let mut io = TcpStream::connect(proxy.address())?;
    io.set_read_timeout(Some(LIMIT))?;
    io.write_all(b"again")?;
    io.shutdown(Shutdown::Write)?;
    let mut back = String::new();
    io.read_to_string(&mut back)?;
    verify_that!(back, eq("again"))?;
    verify_that!(proxy.accepted_connections(), eq(2))
}

/// Guards against a delay that is not applied, or that is applied to each part in turn.
#[gtest]
fn a_delay_is_applied_once_to_each_byte() -> Result<()> {
    let proxy = Proxy::start(echo()?)?;
    proxy.set_faults(ProxyFaults {
        delay_ms: 100,
        ..Default::default()
    });
    let mut io = TcpStream::connect(proxy.address())?;
    let start = Instant::now();
    // 64 reads of 16 KiB would take 6.4 s one after the other.
    let mut sender = io.try_clone()?;
    let sent = thread::spawn(move || sender.write_all(&vec![7; 1 << 20]));
    let mut back = vec![0; 1 << 20];
    io.set_read_timeout(Some(LIMIT))?;
    io.read_exact(&mut back)?;
    sent.join().expect("the thread does not panic")?;
    verify_that!(start.elapsed(), ge(Duration::from_millis(200)))?;
    verify_that!(start.elapsed(), lt(Duration::from_secs(3)))
}

/// The numbers of `count` datagrams that arrive through a relay, in order of arrival. All
/// are sent before the first is read, so 200 with duplicates overflow a socket buffer.
fn relayed(faults: &RelayFaults, seed: u64, count: u16) -> std::io::Result<Vec<u16>> {
    let server = UdpSocket::bind("127.0.0.1:0")?;
    server.set_read_timeout(Some(SILENCE))?;
    let settings = RelaySettings {
        server: server.local_addr()?,
        seed,
        faults: faults.clone(),
        ..Default::default()
    };
    let relay = Relay::start(&settings).map_err(std::io::Error::other)?;
    let client = UdpSocket::bind("127.0.0.1:0")?;
    client.set_read_timeout(Some(SILENCE))?;
    let mut seen = Vec::new();
    let mut buf = [0; 2];
    for number in 0..count {
        client.send_to(&number.to_le_bytes(), relay.address())?;
        // Paced, so that no datagram is lost in a socket buffer.
        thread::sleep(Duration::from_micros(200));
    }
    while let Ok((_, from)) = server.recv_from(&mut buf) {
        seen.push(u16::from_le_bytes(buf));
        server.send_to(&buf, from)?;
    }
    let mut replies = 0;
    while client.recv_from(&mut buf).is_ok() {
        replies += 1;
    }
    // Replies are lost and duplicated like requests, so only the clean relay keeps count.
    if *faults == RelayFaults::default() {
        assert_eq!(replies, seen.len(), "replies go back to the client");
    }
    Ok(seen)
}

/// Guards against a relay that loses, duplicates or reorders without being told, or not when
/// told, or not in the same way for the same seed.
#[gtest]
fn each_switch_of_the_relay_shows() -> Result<()> {
    let no = RelayFaults::default;
    let all: Vec<u16> = (0..100).collect();
    verify_that!(relayed(&no(), 1, 100)?, eq(&all))?;

    let loss = RelayFaults {
        loss_permille: 300,
        ..no()
    };
    let lossy = relayed(&loss, 1, 100)?;
    verify_that!(lossy.len(), all![gt(50), lt(90)])?;
    verify_that!(relayed(&loss, 1, 100)?, eq(&lossy))?;
    verify_that!(relayed(&loss, 2, 100)?, not(eq(&lossy)))?;

    let twice = relayed(
        &RelayFaults {
            duplicate_permille: 500,
            ..no()
        },
        1,
        100,
    )?;
    verify_that!(twice.len(), all![gt(125), lt(175)])?;
    let distinct: BTreeSet<u16> = twice.into_iter().collect();
    verify_that!(distinct.len(), eq(100))?;

    let late = RelayFaults {
        reorder_permille: 200,
        reorder_ms: 20,
        ..no()
    };
    let mut late = relayed(&late, 1, 100)?;
    verify_that!(late, not(eq(&all)))?;
    late.sort_unstable();
    verify_that!(late, eq(&all))?;

    verify_that!(
        relayed(
            &RelayFaults {
                block_to_server: true,
                ..no()
            },
            1,
            10
        )?,
        is_empty()
    )?;
    verify_that!(
        relayed(
            &RelayFaults {
                delay_ms: 30,
                ..no()
            },
            1,
            10
        )?
        .len(),
        eq(10)
    )
}
