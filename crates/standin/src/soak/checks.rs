//! Promises that hold once all faults have ended.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use super::{SERVICES, driver::Driver};

/// Time until each node serves each service, in seconds: the bound of the users' sites,
/// `recoverS`.
const RECOVERY_S: u64 = 15;

/// Time until a configuration is in force at each node, in milliseconds: the bound of the
/// users' sites, `configMs`.
const CONFIGURATION_MS: u64 = 2_000;

/// Time without faults after which that bound holds, in milliseconds: `stabilityWindowMs`.
const CALM_MS: u64 = 3_000;

/// Longest wait for an answer.
const ANSWER: Duration = Duration::from_secs(3);

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Checks that all nodes run and serve each service again.
pub(super) fn recovery(driver: &mut Driver) -> Result<(), String> {
    let lost = driver.lost_nodes();
    if !lost.is_empty() {
        return Err(format!("nodes {lost:?} ended by themselves"));
    }
    let until = Instant::now() + Duration::from_secs(RECOVERY_S);
    for (i, node) in driver.fleet.nodes.iter().enumerate() {
        for service in SERVICES {
            while status(node.callers, service, "/safe/1") != Some(200) {
                if Instant::now() >= until {
                    return Err(format!(
                        "host-{i} does not serve {service} {RECOVERY_S} s after the last fault"
                    ));
                }
                thread::sleep(PAUSE);
            }
        }
    }
    Ok(())
}

/// Checks that a change of the configuration is in force everywhere in time: its new route is
/// served and the one that it drops is not.
pub(super) fn configuration(driver: &mut Driver) -> Result<(), String> {
    thread::sleep(Duration::from_millis(CALM_MS));
    let dropped = format!("/v{}/1", driver.version);
    driver.publish();
    thread::sleep(Duration::from_millis(CONFIGURATION_MS));
    let added = format!("/v{}/1", driver.version);
    for (i, node) in driver.fleet.nodes.iter().enumerate() {
        for (path, wanted) in [(&added, 200), (&dropped, 404)] {
            let seen = status(node.callers, SERVICES[0], path);
            if seen != Some(wanted) {
                return Err(format!(
                    "host-{i} answers {path} with {seen:?} and not {wanted}, {CONFIGURATION_MS} ms \
                     after version {}",
                    driver.version
                ));
            }
        }
    }
    Ok(())
}

/// Sends a request and returns the status of its answer.
fn status(addr: SocketAddr, host: &str, path: &str) -> Option<u16> {
    let mut io = TcpStream::connect_timeout(&addr, ANSWER).ok()?;
    io.set_read_timeout(Some(ANSWER)).ok()?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\
         Plantainpost-Request-Id: check\r\nPlantainpost-Deadline-Ms: 2000\r\n\r\n"
    );
    io.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    // A reset ends the answer, too.
    let _ = io.read_to_end(&mut answer);
    let head = String::from_utf8_lossy(&answer);
    head.split(' ').nth(1)?.parse().ok()
}
