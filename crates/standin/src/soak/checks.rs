//! Checks of the guarantees that hold once all faults have ended.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use super::{
    SERVICES,
    injector::{CONFIG_KEY, FaultInjector},
    workspaces::CHECK_KEY,
};

/// Maximum time in seconds until each node serves each service again: the limit `recoverS` of the
/// users' sites.
const MAX_RECOVERY_S: u64 = 15;

/// Maximum time in milliseconds until a configuration is in force at each node: the limit `configMs`
/// of the users' sites.
const MAX_CONFIGURATION_DELAY_MS: u64 = 2_000;

/// Time in milliseconds without faults after which [`MAX_CONFIGURATION_DELAY_MS`] holds:
/// `stabilityWindowMs` of the users' sites.
const STABILITY_WINDOW_MS: u64 = 3_000;

/// Maximum number of calls to the store a second and node, as a mean over a round. Nodes that read in a
/// loop call it hundreds of times a second.
const MAX_STORE_CALLS_PER_S: f64 = 10.0;

/// Maximum wait for a connection and for each read of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Checks that all nodes are running and serve each service again.
pub(super) fn check_recovery(injector: &mut FaultInjector) -> Result<(), String> {
    let exited = injector.unexpectedly_exited_nodes();
    if !exited.is_empty() {
        return Err(format!("nodes {exited:?} exited without being stopped"));
    }
    let deadline = Instant::now() + Duration::from_secs(MAX_RECOVERY_S);
    for (i, node) in injector.fleet.nodes.iter().enumerate() {
        for service in SERVICES {
            while request_status(node.callers, service, "/safe/1") != Some(200) {
                if Instant::now() >= deadline {
                    return Err(format!(
                        "host-{i} does not serve {service} {MAX_RECOVERY_S} s after the last fault"
                    ));
                }
                thread::sleep(RETRY_INTERVAL);
            }
        }
    }
    Ok(())
}

/// Checks that the version published last is in force at every node in time, unless the store has
/// dropped it.
pub(super) fn check_newest_configuration(injector: &FaultInjector) -> Result<(), String> {
    thread::sleep(Duration::from_millis(STABILITY_WINDOW_MS));
    if !injector
        .operator
        .is_on_store(&injector.fleet.log, CONFIG_KEY)
    {
        return Ok(());
    }
    let deadline = Instant::now() + Duration::from_millis(MAX_CONFIGURATION_DELAY_MS);
    let path = format!("/v{}/1", injector.version);
    for (i, node) in injector.fleet.nodes.iter().enumerate() {
        while request_status(node.callers, SERVICES[0], &path) != Some(200) {
            if Instant::now() >= deadline {
                return Err(format!(
                    "host-{i} does not serve {path} {} ms after the last fault",
                    STABILITY_WINDOW_MS + MAX_CONFIGURATION_DELAY_MS
                ));
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }
    Ok(())
}

/// Checks that the nodes have not called the store too often since the time `start`, when the number of
/// calls was `count_at_start`.
pub(super) fn check_store_calls(
    injector: &FaultInjector,
    start: Instant,
    count_at_start: u64,
) -> Result<f64, String> {
    let calls = injector.fleet.log.call_count() - count_at_start;
    let seconds = start.elapsed().as_secs_f64() * injector.fleet.nodes.len() as f64;
    let per_second = calls as f64 / seconds;
    if per_second > MAX_STORE_CALLS_PER_S {
        return Err(format!(
            "{calls} calls to the store, which are {per_second:.1} a second and node instead of \
             at most {MAX_STORE_CALLS_PER_S}"
        ));
    }
    Ok(per_second)
}

/// Publishes a configuration and checks that it is in force at every node in time: the route that it
/// adds is served and the one that it removes is not.
pub(super) fn check_configuration_update(injector: &mut FaultInjector) -> Result<(), String> {
    let removed_path = format!("/v{}/1", injector.version);
    injector.publish_configuration();
    thread::sleep(Duration::from_millis(MAX_CONFIGURATION_DELAY_MS));
    let added_path = format!("/v{}/1", injector.version);
    for (i, node) in injector.fleet.nodes.iter().enumerate() {
        for (path, expected) in [(&added_path, 200), (&removed_path, 404)] {
            let status = request_status(node.callers, SERVICES[0], path);
            if status != Some(expected) {
                return Err(format!(
                    "host-{i} answers {path} with status {status:?} instead of {expected}, \
                     {MAX_CONFIGURATION_DELAY_MS} ms after version {} was published",
                    injector.version
                ));
            }
        }
    }
    Ok(())
}

/// Sends a GET request and returns the status of its answer; `None` if there is none.
pub(super) fn request_status(addr: SocketAddr, host: &str, path: &str) -> Option<u16> {
    let mut io = TcpStream::connect_timeout(&addr, ANSWER_TIMEOUT).ok()?;
    io.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\
         Plantainpost-Request-Id: check\r\nPlantainpost-Deadline-Ms: 2000\r\n\
         Plantainpost-Key: {CHECK_KEY}\r\n\r\n"
    );
    io.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    // After a reset or a timeout, the bytes received so far are used.
    let _ = io.read_to_end(&mut answer);
    let head = String::from_utf8_lossy(&answer);
    head.split(' ').nth(1)?.parse().ok()
}
