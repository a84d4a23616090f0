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

/// Longest wait for bytes that must arrive.
const TIMEOUT: Duration = Duration::from_secs(5);

/// How long to wait for bytes that must not arrive.
const NO_DATA_WAIT: Duration = Duration::from_millis(150);

/// Starts a TCP server that echoes what it receives. Its threads run until the process ends.
fn start_echo_server() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            thread::spawn(move || std::io::copy(&mut &io, &mut &io));
        }
    });
    Ok(address)
}

/// Sends bytes through the proxy to the echo server. Returns the bytes that arrive within
/// `timeout` or until the connection is closed, and whether it was closed.
fn send_and_receive(io: &mut TcpStream, data: &[u8], timeout: Duration) -> (Vec<u8>, bool) {
    let mut received = Vec::new();
    if io.write_all(data).is_err() {
        return (received, true);
    }
    let mut buf = [0; 4096];
    let deadline = Instant::now() + timeout;
    while received.len() < data.len() && Instant::now() < deadline {
        drop(io.set_read_timeout(Some(Duration::from_millis(10))));
        match io.read(&mut buf) {
            Ok(0) => return (received, true),
            Ok(len) => received.extend_from_slice(&buf[..len]),
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return (received, true),
        }
    }
    (received, false)
}

/// Guards against fault switches of the proxy without effect, or with an effect on bytes that
/// they don't apply to.
#[gtest]
fn each_fault_switch_of_the_proxy_takes_effect() -> Result<()> {
    let no_faults = ProxyFaults::default;
    // Each row: the switches, how many of 1000 bytes come back, and whether the connection is
    // closed.
    let rows = [
        (no_faults(), 1000, false),
        (
            ProxyFaults {
                hold_to_server: true,
                ..no_faults()
            },
            0,
            false,
        ),
        (
            ProxyFaults {
                hold_to_client: true,
                ..no_faults()
            },
            0,
            false,
        ),
        (
            ProxyFaults {
                close_new_connections: true,
                ..no_faults()
            },
            0,
            true,
        ),
        (
            ProxyFaults {
                cut_after_bytes_to_server: Some(100),
                ..no_faults()
            },
            100,
            true,
        ),
        (
            ProxyFaults {
                cut_after_bytes_to_client: Some(100),
                ..no_faults()
            },
            100,
            true,
        ),
        (
            ProxyFaults {
                cut_after_bytes_to_server: Some(0),
                ..no_faults()
            },
            0,
            true,
        ),
    ];
    let server = start_echo_server()?;
    for (faults, bytes, is_closed) in rows {
        let proxy = Proxy::start(server)?;
        proxy.set_faults(faults.clone());
        let mut io = TcpStream::connect(proxy.address())?;
        let timeout = if bytes == 0 && !is_closed {
            NO_DATA_WAIT
        } else {
            TIMEOUT
        };
        let (received, was_closed) = send_and_receive(&mut io, &[7; 1000], timeout);
        // A cut may close the connection before all bytes have come back.
        if faults.cut_after_bytes_to_server.is_some() {
            expect_that!(received.len(), le(bytes), "{faults:?}");
            expect_that!(proxy.bytes_to_server(), eq(bytes as u64), "{faults:?}");
        } else {
            expect_that!(received.len(), eq(bytes), "{faults:?}");
        }
        expect_that!(was_closed, eq(is_closed), "{faults:?}");
        // Bytes that were held back are not lost.
        if faults.hold_to_server || faults.hold_to_client {
            proxy.set_faults(no_faults());
            let mut received = [0; 1000];
            io.set_read_timeout(Some(TIMEOUT))?;
            expect_that!(io.read_exact(&mut received).is_ok(), eq(true), "{faults:?}");
        }
    }
    Ok(())
}

/// Guards against a cut that leaves connections open or the proxy unusable, and against a
/// half-close after which the data of the server is lost.
#[gtest]
fn a_cut_closes_connections_and_a_half_close_does_not() -> Result<()> {
    let proxy = Proxy::start(start_echo_server()?)?;
    let mut io = TcpStream::connect(proxy.address())?;
    verify_that!(
        send_and_receive(&mut io, b"before", TIMEOUT).0,
        eq(b"before")
    )?;
    proxy.cut_connections();
    verify_that!(send_and_receive(&mut io, b"after", TIMEOUT).1, eq(true))?;

    let mut io = TcpStream::connect(proxy.address())?;
    io.set_read_timeout(Some(TIMEOUT))?;
    io.write_all(b"again")?;
    io.shutdown(Shutdown::Write)?;
    let mut received = String::new();
    io.read_to_string(&mut received)?;
    verify_that!(received, eq("again"))?;
    verify_that!(proxy.accepted_connections(), eq(2))
}

/// Guards against a delay that is not applied, or that is applied to one read after the other.
#[gtest]
fn a_delay_is_applied_once_to_each_byte() -> Result<()> {
    let proxy = Proxy::start(start_echo_server()?)?;
    proxy.set_faults(ProxyFaults {
        delay_ms: 100,
        ..Default::default()
    });
    let mut io = TcpStream::connect(proxy.address())?;
    let start = Instant::now();
    // One after the other, the delays of 64 reads of 16 KiB would take 6.4 s.
    let mut sender = io.try_clone()?;
    let sent = thread::spawn(move || sender.write_all(&vec![7; 1 << 20]));
    let mut received = vec![0; 1 << 20];
    io.set_read_timeout(Some(TIMEOUT))?;
    io.read_exact(&mut received)?;
    sent.join().expect("the thread does not panic")?;
    verify_that!(start.elapsed(), ge(Duration::from_millis(200)))?;
    verify_that!(start.elapsed(), lt(Duration::from_secs(3)))
}

/// Sends `count` numbered datagrams through a relay and returns the numbers of those that arrive,
/// in order of arrival. All are sent before the first is read, so 200 datagrams with duplicates
/// would overflow a socket buffer.
fn received_through_relay(
    faults: &RelayFaults,
    seed: u64,
    count: u16,
) -> std::io::Result<Vec<u16>> {
    let server = UdpSocket::bind("127.0.0.1:0")?;
    server.set_read_timeout(Some(NO_DATA_WAIT))?;
    let settings = RelaySettings {
        server: server.local_addr()?,
        seed,
        faults: faults.clone(),
        ..Default::default()
    };
    let relay = Relay::start(&settings).map_err(std::io::Error::other)?;
    let client = UdpSocket::bind("127.0.0.1:0")?;
    client.set_read_timeout(Some(NO_DATA_WAIT))?;
    let mut received = Vec::new();
    let mut buf = [0; 2];
    for number in 0..count {
        client.send_to(&number.to_le_bytes(), relay.address())?;
        // Sent at intervals, so that no datagram is dropped because a socket buffer is full.
        thread::sleep(Duration::from_micros(200));
    }
    while let Ok((_, from)) = server.recv_from(&mut buf) {
        received.push(u16::from_le_bytes(buf));
        server.send_to(&buf, from)?;
    }
    let mut replies = 0;
    while client.recv_from(&mut buf).is_ok() {
        replies += 1;
    }
    // Replies are lost and duplicated like requests, so their number is known only without
    // faults.
    if *faults == RelayFaults::default() {
        assert_eq!(replies, received.len(), "replies go back to the client");
    }
    Ok(received)
}

/// Guards against a relay that drops, duplicates or reorders datagrams without the fault switch,
/// doesn't with it, or drops other datagrams for the same seed.
#[gtest]
fn each_fault_switch_of_the_relay_takes_effect() -> Result<()> {
    let no_faults = RelayFaults::default;
    let all: Vec<u16> = (0..100).collect();
    verify_that!(received_through_relay(&no_faults(), 1, 100)?, eq(&all))?;

    let loss_faults = RelayFaults {
        loss_permille: 300,
        ..no_faults()
    };
    let lossy = received_through_relay(&loss_faults, 1, 100)?;
    verify_that!(lossy.len(), all![gt(50), lt(90)])?;
    verify_that!(received_through_relay(&loss_faults, 1, 100)?, eq(&lossy))?;
    verify_that!(
        received_through_relay(&loss_faults, 2, 100)?,
        not(eq(&lossy))
    )?;

    let duplicated = received_through_relay(
        &RelayFaults {
            duplicate_permille: 500,
            ..no_faults()
        },
        1,
        100,
    )?;
    verify_that!(duplicated.len(), all![gt(125), lt(175)])?;
    let distinct: BTreeSet<u16> = duplicated.into_iter().collect();
    verify_that!(distinct.len(), eq(100))?;

    let reorder_faults = RelayFaults {
        reorder_permille: 200,
        reorder_ms: 20,
        ..no_faults()
    };
    let mut reordered = received_through_relay(&reorder_faults, 1, 100)?;
    verify_that!(reordered, not(eq(&all)))?;
    reordered.sort_unstable();
    verify_that!(reordered, eq(&all))?;

    verify_that!(
        received_through_relay(
            &RelayFaults {
                block_to_server: true,
                ..no_faults()
            },
            1,
            10
        )?,
        is_empty()
    )?;
    verify_that!(
        received_through_relay(
            &RelayFaults {
                delay_ms: 30,
                ..no_faults()
            },
            1,
            10
        )?
        .len(),
        eq(10)
    )
}
