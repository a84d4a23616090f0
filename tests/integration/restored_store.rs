//! A store that comes back from an older copy: it has lost what it acknowledged after the copy, and
//! gives the offsets of the lost records out again.

use std::{
    cell::Cell,
    collections::BTreeSet,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use plantainpost_standin::{
    log::{self, DownMode, LogFaults, LogSettings, StoreCopy},
    process::{self, Signal},
    proxy::{Proxy, ProxyFaults},
};

use crate::{
    evacuation_fixture::{admin, data_centre, set_evacuated, set_place},
    fleet_fixture::WAIT_TIMEOUT,
    platform_fixture::{
        PlatformFleet, ScriptedReply, ScriptedTarget, answer, exchange, start_process,
    },
};

/// Time within which an acknowledged configuration is in force on all nodes.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Longest time until a configuration is in force after the end of a fault of the store.
const MAX_DELAY_AFTER_FAULT: Duration = Duration::from_secs(3);

/// Time after which a test no longer waits for a configuration.
const GIVE_UP_AFTER: Duration = Duration::from_secs(6);

/// Time for which the store is away before it comes back from the copy.
const OUTAGE: Duration = Duration::from_secs(1);

/// Time for which a state must stay as it is.
const UNCHANGED_TIME: Duration = Duration::from_secs(4);

/// Interval between heartbeats of the target.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Newest version of the routes before the store fails.
const OLD_VERSION: u64 = 5;

/// Offset after the newest record of operators before the store fails.
const OLD_END: u64 = 5;

/// Newest version of the routes in the copy.
const COPY_VERSION: u64 = 2;

/// Offset after the newest record of operators in the copy.
const COPY_END: u64 = 2;

/// Calls to the store that a fleet may make in a second, for each of its nodes: a read of a reader
/// that waits for a second or for the next record, of which the tests write up to three, a refused
/// read, a snapshot, and the contact of the node written and read, with one repetition each of the
/// last three.
const MAX_CALLS_PER_NODE: u64 = 1 + 3 + 2 * 3;

/// Sizes of the fleets. Each data centre has at most three readers, so that two nodes of the larger
/// fleet are none.
const FLEET_SIZES: [usize; 2] = [3, 6];

/// A fleet whose store has an older copy.
struct Drill {
    platform: PlatformFleet,
    copy: StoreCopy,
    /// Index of each node that runs.
    running: Vec<usize>,
    target: ScriptedTarget,
    /// Number and time of the last heartbeat of the target.
    last_heartbeat: Cell<(u64, Instant)>,
}

impl Drill {
    fn start(node_count: usize) -> Self {
        Self::start_with_store_addresses(node_count, |_, store| store)
    }

    /// Starts nodes that have [`OLD_VERSION`] in force, and takes a copy of the store when its newest
    /// version is [`COPY_VERSION`]. The last node of a larger fleet is in a data centre of its own.
    fn start_with_store_addresses(
        node_count: usize,
        address_of: impl FnMut(usize, SocketAddr) -> SocketAddr,
    ) -> Self {
        let store = LogSettings {
            era: Some(0),
            ..Default::default()
        };
        let platform =
            PlatformFleet::start_with_store(&store, node_count, address_of, |i, text| {
                if i >= FLEET_SIZES[0] && i == node_count - 1 {
                    set_place(text, ("arima", "tt"));
                }
            });
        let target =
            ScriptedTarget::start(|head| ScriptedReply::Keep(answer(head, "200 OK", "stock")));
        process::wait_until("the contacts of all nodes", WAIT_TIMEOUT, || {
            contact_names(&platform).len() == node_count
        })
        .expect("the contacts of all nodes");
        for version in 1..=COPY_VERSION {
            publish(&platform, version);
        }
        let copy = platform.store.copy();
        for version in COPY_VERSION + 1..=OLD_VERSION {
            publish(&platform, version);
        }
        platform.announce(0, &target, "i-1", 1, "ready");
        let drill = Drill {
            platform,
            copy,
            running: (0..node_count).collect(),
            target,
            last_heartbeat: Cell::new((1, Instant::now())),
        };
        drill.wait_for_version(OLD_VERSION, Instant::now(), WAIT_TIMEOUT);
        process::wait_until("three readers in each data centre", WAIT_TIMEOUT, || {
            let readers = drill.readers().len();
            readers == FLEET_SIZES[0] + usize::from(node_count > FLEET_SIZES[0])
        })
        .expect("three readers in each data centre");
        drill
    }

    /// Returns the running nodes that read the store.
    fn readers(&self) -> Vec<usize> {
        let request = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
        // A node that has been a reader since its start doesn't have the metric.
        let is_reader = |i: &usize| {
            let text = exchange(self.platform.hosts[*i].metrics, request);
            !text.contains("plantainpost_store_reader 0\n")
        };
        self.running.iter().copied().filter(is_reader).collect()
    }

    /// Announces the target beside node 0 again if it is time to.
    fn send_heartbeat(&self) {
        let (seq, at) = self.last_heartbeat.get();
        if at.elapsed() >= HEARTBEAT_INTERVAL {
            self.last_heartbeat.set((seq + 1, Instant::now()));
            let target = &self.target;
            self.platform.announce(0, target, "i-1", seq + 1, "ready");
        }
    }

    /// Makes the store unreachable, restores the copy, lets operators write records, and returns when
    /// the store answers again.
    fn restore(&self, outage: Duration, write: impl FnOnce(&PlatformFleet)) -> Instant {
        self.restore_copy(&self.copy, outage, write)
    }

    fn restore_copy(
        &self,
        copy: &StoreCopy,
        outage: Duration,
        write: impl FnOnce(&PlatformFleet),
    ) -> Instant {
        let store = &self.platform.store;
        store.set_faults(LogFaults {
            down: DownMode::Refuse,
            ..Default::default()
        });
        thread::sleep(outage);
        store.restore(copy);
        write(&self.platform);
        store.set_faults(LogFaults::default());
        let start = Instant::now();
        process::wait_until("a connection to the store", WAIT_TIMEOUT, || {
            TcpStream::connect(store.address()).is_ok()
        })
        .expect("the store accepts connections");
        start
    }

    /// Returns how long after `start` each running node has served the routes added by a version, or
    /// `None` if it doesn't for `give_up_after`.
    fn wait_for_version(
        &self,
        version: u64,
        start: Instant,
        give_up_after: Duration,
    ) -> Vec<Option<Duration>> {
        self.wait_for_each(start, give_up_after, |i| serves(&self.platform, i, version))
    }

    fn wait_for_evacuation(
        &self,
        name: &str,
        is_evacuated: bool,
        start: Instant,
    ) -> Vec<Option<Duration>> {
        self.wait_for_each(start, GIVE_UP_AFTER, |i| {
            data_centre(&self.platform, i, name)["evacuated"] == is_evacuated
        })
    }

    fn wait_for_each(
        &self,
        start: Instant,
        give_up_after: Duration,
        is_met: impl Fn(usize) -> bool,
    ) -> Vec<Option<Duration>> {
        let mut delays = vec![None; self.running.len()];
        // A timeout shows as a node without a delay.
        let _ = process::wait_until("a state at all nodes", give_up_after, || {
            self.send_heartbeat();
            for (delay, i) in delays.iter_mut().zip(&self.running) {
                if delay.is_none() && is_met(*i) {
                    *delay = Some(start.elapsed());
                }
            }
            delays.iter().all(Option::is_some)
        });
        delays
    }

    /// Expects a version to be in force at all running nodes within `limit` after `start`.
    fn expect_in_force(&self, version: u64, start: Instant, limit: Duration) {
        let delays = self.wait_for_version(version, start, GIVE_UP_AFTER);
        expect_delays(&delays, limit, &format!("version {version}"));
    }

    /// Expects the calls to the store in the first second after `start`, when it had received
    /// `calls_before`, to be few.
    fn expect_few_calls(&self, calls_before: u64, start: Instant, what: &str) {
        thread::sleep(Duration::from_secs(1).saturating_sub(start.elapsed()));
        let elapsed = start.elapsed();
        let calls = self.platform.store.call_count() - calls_before;
        let limit = MAX_CALLS_PER_NODE as f64 * self.running.len() as f64 * elapsed.as_secs_f64();
        let nodes = self.running.len();
        expect_that!(
            calls as f64,
            le(limit),
            "{what}: {nodes} nodes, {elapsed:?}"
        );
    }

    fn kill(&mut self, i: usize) {
        let process = &mut self.platform.hosts[i].process;
        process.signal(Signal::Kill).expect("the node runs");
        process.wait_exit(WAIT_TIMEOUT).expect("an end");
        self.running.retain(|other| *other != i);
    }
}

fn expect_delays(delays: &[Option<Duration>], limit: Duration, what: &str) {
    let in_time = |delay: &Option<Duration>| delay.is_some_and(|delay| delay < limit);
    expect_true!(
        delays.iter().all(in_time),
        "{what}, limit {limit:?}, delay of each of {} nodes: {delays:?}",
        delays.len()
    );
}

/// Publishes a version of the routes, each of which adds one route.
fn publish(platform: &PlatformFleet, version: u64) {
    let prefixes: Vec<_> = (1..=version).map(|added| format!("/v{added}/")).collect();
    let routes: Vec<_> = prefixes
        .iter()
        .map(|prefix| (prefix.as_str(), "safe", 5_000))
        .collect();
    platform.publish_route_list(version, &routes);
}

/// Writes a record that has no meaning for the nodes.
fn publish_unrelated(platform: &PlatformFleet, number: u64) {
    let key = format!("note/{number}");
    platform.store.append_keyed("keyed.op", &key, b"{}");
}

fn end_offset(platform: &PlatformFleet) -> u64 {
    let records = platform.store.records("keyed.op");
    records.last().map_or(0, |record| record.offset + 1)
}

/// Returns whether a node serves the route that a version adds.
fn serves(platform: &PlatformFleet, i: usize, version: u64) -> bool {
    let text = platform.get(i, &format!("/v{version}/a"), "a1");
    text.starts_with("HTTP/1.1 200")
}

fn version_in_force(platform: &PlatformFleet, i: usize) -> Option<u64> {
    admin(platform, i, "/v1/status")["routes"]["version"].as_u64()
}

/// Returns the names of the nodes that have a contact in the store.
fn contact_names(platform: &PlatformFleet) -> BTreeSet<String> {
    let records = platform.store.records("keyed.nodes").into_iter();
    records
        .filter_map(|record| Some(record.data.split_once('{')?.0.to_owned()))
        .collect()
}

/// Guards against readers that wait at their old offset when the restored store ends there, while a new
/// configuration was written below it.
#[gtest]
fn configuration_at_the_old_end_of_a_restored_store_is_in_force() {
    for node_count in FLEET_SIZES {
        let drill = Drill::start(node_count);
        let start = drill.restore(OUTAGE, |platform| {
            publish(platform, OLD_VERSION);
            publish_unrelated(platform, 1);
            publish(platform, OLD_VERSION + 1);
        });
        expect_that!(end_offset(&drill.platform), eq(OLD_END));
        drill.expect_in_force(OLD_VERSION + 1, start, MAX_DELAY_AFTER_FAULT);
    }
}

/// Guards against a configuration that is not in force because the restored store ends below the old
/// offset of the readers.
#[gtest]
fn configuration_below_the_old_end_of_a_restored_store_is_in_force() {
    for node_count in FLEET_SIZES {
        let drill = Drill::start(node_count);
        let start = drill.restore(OUTAGE, |platform| publish(platform, OLD_VERSION + 1));
        expect_that!(end_offset(&drill.platform), eq(COPY_END + 1));
        drill.expect_in_force(OLD_VERSION + 1, start, MAX_DELAY_AFTER_FAULT);
        publish(&drill.platform, OLD_VERSION + 2);
        drill.expect_in_force(OLD_VERSION + 2, Instant::now(), IN_FORCE_LIMIT);
    }
}

/// Guards against reads in a loop while a restored store ends below the old offset of the readers.
#[gtest]
fn store_that_ends_below_the_old_offset_gets_few_calls() {
    for node_count in FLEET_SIZES {
        let drill = Drill::start(node_count);
        let calls = drill.platform.store.call_count();
        let start = drill.restore(OUTAGE, |_| ());
        drill.expect_few_calls(calls, start, "before operators write");
        let (calls, start) = (drill.platform.store.call_count(), Instant::now());
        publish(&drill.platform, OLD_VERSION);
        publish(&drill.platform, OLD_VERSION + 1);
        drill.expect_in_force(OLD_VERSION + 1, start, IN_FORCE_LIMIT);
        drill.expect_few_calls(calls, start, "after operators wrote");
        expect_that!(end_offset(&drill.platform), lt(OLD_END));
    }
}

/// Guards against reads in a loop of a store that states no era and whose log has become shorter.
#[gtest]
fn store_without_eras_that_lacks_the_records_gets_few_calls() {
    let store = ScriptedTarget::start(|head| {
        let (status, body) = match head.split_whitespace().nth(1) {
            Some(path) if path.starts_with("/-/log-read") => ("410 Gone", r#"{"first":0}"#),
            Some(path) if path.starts_with("/-/log-newest") => {
                ("200 OK", r#"{"items":[],"truncated":false,"end":0}"#)
            }
            _ => ("200 OK", r#"{"offset":0,"end":1}"#),
        };
        ScriptedReply::Keep(answer(head, status, body))
    });
    let _platform = PlatformFleet::start_with_store_addresses(1, |_, _| store.addr);
    process::wait_until("a read", WAIT_TIMEOUT, || {
        let heads = store.received_heads();
        heads.iter().any(|head| head.starts_with("get /-/log-read"))
    })
    .expect("a read");
    let (calls_before, start) = (store.received_heads().len(), Instant::now());
    thread::sleep(Duration::from_secs(2));
    let calls = store.received_heads().len() - calls_before;
    let limit = MAX_CALLS_PER_NODE as f64 * start.elapsed().as_secs_f64();
    expect_that!(calls as f64, le(limit));
}

/// Guards against a configuration that is missed because it is written one by one while the end of a
/// restored store passes the old offset of the readers.
#[gtest]
fn configurations_that_pass_the_old_end_of_a_restored_store_are_in_force() {
    for node_count in FLEET_SIZES {
        let drill = Drill::start(node_count);
        drill.restore(OUTAGE, |_| ());
        for version in OLD_VERSION + 1..=OLD_VERSION + 5 {
            publish(&drill.platform, version);
            drill.expect_in_force(version, Instant::now(), IN_FORCE_LIMIT);
        }
        expect_that!(end_offset(&drill.platform), gt(OLD_END));
    }
}

/// Guards against readers that read on from their old offset in a restored store and miss the only new
/// configuration, which is below it.
#[gtest]
fn configuration_among_restored_offsets_is_not_missed() {
    for node_count in FLEET_SIZES {
        let drill = Drill::start(node_count);
        let start = drill.restore(OUTAGE, |platform| {
            publish(platform, OLD_VERSION + 1);
            (0..6).for_each(|number| publish_unrelated(platform, number));
        });
        expect_that!(end_offset(&drill.platform), gt(OLD_END));
        drill.expect_in_force(OLD_VERSION + 1, start, MAX_DELAY_AFTER_FAULT);
    }
}

/// Guards against readers that read on from their old offset in a restored store and miss an evacuation
/// below it.
#[gtest]
fn evacuation_among_restored_offsets_is_not_missed() {
    for node_count in FLEET_SIZES {
        let drill = Drill::start(node_count);
        let start = drill.restore(OUTAGE, |platform| {
            set_evacuated(platform, "arima", true);
            publish(platform, OLD_VERSION);
            (0..6).for_each(|number| publish_unrelated(platform, number));
        });
        expect_that!(end_offset(&drill.platform), gt(OLD_END));
        let delays = drill.wait_for_evacuation("arima", true, start);
        expect_delays(&delays, MAX_DELAY_AFTER_FAULT, "evacuation");
    }
}

/// Guards against nodes that go back to the older routes of a restored store.
#[gtest]
fn routes_in_force_stay_when_the_restored_store_has_older_ones() {
    for node_count in FLEET_SIZES {
        let drill = Drill::start(node_count);
        let start = drill.restore(OUTAGE, |_| ());
        let mut falls = Vec::new();
        while start.elapsed() < UNCHANGED_TIME {
            drill.send_heartbeat();
            for i in &drill.running {
                let version = version_in_force(&drill.platform, *i);
                let serves_route = serves(&drill.platform, *i, OLD_VERSION);
                if version < Some(OLD_VERSION) || !serves_route {
                    falls.push((*i, version, serves_route));
                }
            }
        }
        expect_that!(falls, is_empty());
    }
}

/// Restores the store, lets `write` change it, starts a further node and restarts a running one, and
/// expects both to serve the newer routes of their peers.
fn expect_newer_routes_at_started_nodes(write: impl Fn(&PlatformFleet)) {
    for node_count in FLEET_SIZES {
        let mut drill = Drill::start(node_count);
        drill.restore(OUTAGE, &write);
        let added = drill.platform.add_node();
        let restarted = 1;
        drill.kill(restarted);
        let host = &mut drill.platform.hosts[restarted];
        host.process = start_process(&host.settings);
        drill.running = vec![added, restarted];
        for i in [added, restarted] {
            drill.platform.wait_readyz(i, "200");
        }
        drill.expect_in_force(OLD_VERSION, Instant::now(), IN_FORCE_LIMIT);
        drill.running = (0..=added).collect();
        drill.expect_in_force(OLD_VERSION, Instant::now(), IN_FORCE_LIMIT);
    }
}

/// Guards against a node that starts after a restore and stays at the older routes of the store, although
/// its peers have newer ones.
#[gtest]
fn node_started_after_a_restore_gets_the_newer_routes_of_its_peers() {
    expect_newer_routes_at_started_nodes(|_| ());
}

/// Guards against a node that starts after a restore and doesn't fetch the newer routes of its peers
/// because it has read the store as far as they have.
#[gtest]
fn node_started_at_the_offset_of_its_peers_gets_their_newer_routes() {
    expect_newer_routes_at_started_nodes(|platform| {
        (0..6).for_each(|number| publish_unrelated(platform, number));
    });
}

/// Starts a fleet whose store has a copy that was taken after the first decision about `arima`, and
/// lost records that end with the second one, which is in force at all nodes.
fn start_with_lost_decision(node_count: usize, was_evacuated: bool) -> Drill {
    let mut drill = Drill::start(node_count);
    let platform = &drill.platform;
    set_evacuated(platform, "arima", was_evacuated);
    drill.copy = platform.store.copy();
    (0..6).for_each(|number| publish_unrelated(platform, number));
    set_evacuated(platform, "arima", !was_evacuated);
    let delays = drill.wait_for_evacuation("arima", !was_evacuated, Instant::now());
    expect_delays(&delays, IN_FORCE_LIMIT, "before the restore");
    drill
}

/// Expects running nodes to keep to the lost decision, and to follow the next one, although its record
/// has a lower offset.
fn expect_decisions_are_followed(was_evacuated: bool) {
    for node_count in FLEET_SIZES {
        let drill = start_with_lost_decision(node_count, was_evacuated);
        let platform = &drill.platform;
        let old_end = end_offset(platform);
        let start = drill.restore(OUTAGE, |_| ());
        let mut changes = Vec::new();
        while start.elapsed() < UNCHANGED_TIME {
            drill.send_heartbeat();
            for i in &drill.running {
                let state = data_centre(platform, *i, "arima");
                if state["evacuated"] == was_evacuated {
                    changes.push((*i, start.elapsed()));
                }
            }
        }
        expect_that!(changes, is_empty(), "{node_count} nodes");
        // The lost decision, then a new one.
        for is_evacuated in [!was_evacuated, was_evacuated] {
            set_evacuated(platform, "arima", is_evacuated);
            let delays = drill.wait_for_evacuation("arima", is_evacuated, Instant::now());
            let what = format!("evacuated: {is_evacuated}");
            expect_delays(&delays, IN_FORCE_LIMIT, &what);
        }
        expect_that!(end_offset(platform), lt(old_end));
    }
}

/// Guards against an evacuation that begins again because a restored store has lost its end, and against
/// nodes that ignore the next decision because its offset is lower.
#[gtest]
fn evacuation_whose_end_was_lost_stays_ended() {
    expect_decisions_are_followed(true);
}

/// Guards against an evacuation that ends because a restored store has lost its record, and against nodes
/// that ignore the next decision because its offset is lower.
#[gtest]
fn evacuation_whose_record_was_lost_stays_in_force() {
    expect_decisions_are_followed(false);
}

/// Guards against nodes that take a decision of the restored store for an older one because it was written
/// before they read the store again, and its offset is lower than that of the lost one.
#[gtest]
fn decision_written_before_the_restored_store_is_read_is_followed() {
    for was_evacuated in [true, false] {
        let drill = start_with_lost_decision(FLEET_SIZES[1], was_evacuated);
        let old_end = end_offset(&drill.platform);
        let start = drill.restore(OUTAGE, |platform| {
            set_evacuated(platform, "arima", !was_evacuated);
            set_evacuated(platform, "arima", was_evacuated);
        });
        expect_that!(end_offset(&drill.platform), lt(old_end));
        let delays = drill.wait_for_evacuation("arima", was_evacuated, start);
        let what = format!("evacuated: {was_evacuated}");
        expect_delays(&delays, MAX_DELAY_AFTER_FAULT, &what);
    }
}

/// Guards against readers that notice only the first of two restores within a second.
#[gtest]
fn configuration_after_two_restores_within_a_second_is_in_force() {
    for node_count in FLEET_SIZES {
        let drill = Drill::start(node_count);
        let rewrite = |platform: &PlatformFleet, version: u64| {
            publish(platform, OLD_VERSION);
            publish_unrelated(platform, version);
            publish(platform, version);
        };
        let first = drill.restore(OUTAGE, |platform| rewrite(platform, OLD_VERSION + 1));
        thread::sleep(Duration::from_millis(500));
        let second = drill.restore(Duration::from_millis(200), |platform| {
            rewrite(platform, OLD_VERSION + 2);
        });
        expect_that!(second - first, lt(Duration::from_secs(1)));
        expect_that!(end_offset(&drill.platform), eq(OLD_END));
        drill.expect_in_force(OLD_VERSION + 2, second, MAX_DELAY_AFTER_FAULT);
        publish(&drill.platform, OLD_VERSION + 3);
        drill.expect_in_force(OLD_VERSION + 3, Instant::now(), IN_FORCE_LIMIT);
    }
}

/// Returns a copy of a store that has the routes in force and no contacts.
fn copy_without_contacts(platform: &PlatformFleet) -> StoreCopy {
    let store = log::start(&LogSettings::default()).expect("the store starts");
    for record in platform.store.records("keyed.op") {
        store.append("keyed.op", &record.data);
    }
    store.copy()
}

/// Expects all nodes to know each other as running within `limit`.
fn expect_one_fleet(drill: &Drill, limit: Duration) {
    let node_count = drill.running.len();
    let start = Instant::now();
    let delays = drill.wait_for_each(start, GIVE_UP_AFTER, |i| {
        let status = admin(&drill.platform, i, "/v1/status");
        let members = status["members"].as_array().cloned().unwrap_or_default();
        members.iter().filter(|m| m["state"] == "alive").count() == node_count
    });
    expect_delays(&delays, limit, "all members known");
}

/// Guards against running nodes whose contacts a restored store has lost, so that nodes that start later
/// don't find them.
#[gtest]
fn contacts_that_a_restore_lost_are_written_again() {
    for node_count in FLEET_SIZES {
        let mut drill = Drill::start(node_count);
        let copy = copy_without_contacts(&drill.platform);
        drill.restore_copy(&copy, OUTAGE, |_| ());
        let written = process::wait_until("the contacts", MAX_DELAY_AFTER_FAULT, || {
            contact_names(&drill.platform).len() == node_count
        });
        let names = contact_names(&drill.platform);
        expect_true!(written.is_ok(), "of {node_count} nodes: {names:?}");
        // Each node writes its contact once.
        let records = drill.platform.store.records("keyed.nodes");
        expect_that!(records.len(), le(node_count));
        let added = drill.platform.add_node();
        drill.running.push(added);
        drill.platform.wait_readyz(added, "200");
        expect_one_fleet(&drill, IN_FORCE_LIMIT);
    }
}

/// Guards against a node that starts right after a restore, before the running nodes have written their
/// contacts again, and stays alone.
#[gtest]
fn node_started_before_lost_contacts_are_written_again_finds_the_fleet() {
    for node_count in FLEET_SIZES {
        let mut drill = Drill::start(node_count);
        let copy = copy_without_contacts(&drill.platform);
        drill.restore_copy(&copy, OUTAGE, |_| ());
        let added = drill.platform.add_node();
        drill.running.push(added);
        drill.platform.wait_readyz(added, "200");
        expect_one_fleet(&drill, MAX_DELAY_AFTER_FAULT);
    }
}

/// Guards against nodes that take over the reading of a restored store and read on from the offset of the
/// readers before, which are cut off from the store.
#[gtest]
fn new_readers_of_a_restored_store_miss_no_configuration() {
    let mut proxies = Vec::new();
    let drill = Drill::start_with_store_addresses(FLEET_SIZES[1], |_, store| {
        proxies.push(Proxy::start(store).expect("the proxy starts"));
        proxies.last().expect("a proxy").address()
    });
    let readers = drill.readers();
    let start = drill.restore(OUTAGE, |platform| {
        for i in &readers {
            proxies[*i].set_faults(ProxyFaults {
                close_new_connections: true,
                ..Default::default()
            });
            proxies[*i].cut_connections();
        }
        publish(platform, OLD_VERSION);
        publish_unrelated(platform, 1);
        publish(platform, OLD_VERSION + 1);
    });
    drill.expect_in_force(OLD_VERSION + 1, start, MAX_DELAY_AFTER_FAULT);
}

/// Guards against a configuration that is not in force because a reader is killed while the store is
/// restored.
#[gtest]
fn killed_reader_of_a_restored_store_delays_no_configuration() {
    let mut drill = Drill::start(FLEET_SIZES[1]);
    // The target is beside node 0.
    let killed = *drill.readers().iter().find(|i| **i != 0).expect("a reader");
    drill.kill(killed);
    let start = drill.restore(OUTAGE, |platform| {
        publish(platform, OLD_VERSION);
        publish_unrelated(platform, 1);
        publish(platform, OLD_VERSION + 1);
    });
    drill.expect_in_force(OLD_VERSION + 1, start, MAX_DELAY_AFTER_FAULT);
}

/// Guards against a node that starts before operators have written a lost evacuation again, and sends requests to
/// the data centre that its peers keep evacuated.
#[gtest]
fn node_started_after_a_restore_gets_the_lost_evacuation_of_its_peers() {
    for node_count in FLEET_SIZES {
        let mut drill = start_with_lost_decision(node_count, false);
        let start = drill.restore(OUTAGE, |_| ());
        let delays = drill.wait_for_each(start, GIVE_UP_AFTER, |i| {
            admin(&drill.platform, i, "/v1/status")["configuration"]["era"] == 1
        });
        expect_delays(&delays, MAX_DELAY_AFTER_FAULT, "era");
        let added = drill.platform.add_node();
        drill.platform.wait_readyz(added, "200");
        drill.running = vec![added];
        let delays = drill.wait_for_evacuation("arima", true, Instant::now());
        expect_delays(&delays, IN_FORCE_LIMIT, "evacuation at the added node");
        drill.running = (0..=added).collect();
        let delays = drill.wait_for_evacuation("arima", true, Instant::now());
        expect_delays(&delays, IN_FORCE_LIMIT, "evacuation at all nodes");
    }
}

/// Guards against a second restore of the same copy that ends an evacuation whose record the first one has lost.
#[gtest]
fn evacuation_whose_record_was_lost_stays_in_force_after_two_restores() {
    for node_count in FLEET_SIZES {
        let drill = start_with_lost_decision(node_count, false);
        for era in 1..=2 {
            let start = drill.restore(OUTAGE, |_| ());
            let delays = drill.wait_for_each(start, GIVE_UP_AFTER, |i| {
                admin(&drill.platform, i, "/v1/status")["configuration"]["era"] == era
            });
            expect_delays(&delays, MAX_DELAY_AFTER_FAULT, "era");
            let delays = drill.wait_for_evacuation("arima", true, Instant::now());
            expect_delays(&delays, IN_FORCE_LIMIT, &format!("evacuation in era {era}"));
        }
    }
}
