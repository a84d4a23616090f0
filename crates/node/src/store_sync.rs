//! Reads routes and contacts from the platform's store, and registers this node there.

use std::{net::SocketAddr, rc::Rc};

use plantainpost_core::{
    config::{Position, PublishedRecords},
    time::Instant,
};
use rand::RngExt;
use slog::{info, warn};

use crate::{
    config_sync,
    external::{Contact, FleetStore, PublishedRoutes, StoreError},
    node::Node,
};

/// Shortest mean delay after a failed call, in milliseconds.
const MIN_BACKOFF_MS: u64 = 200;

/// Longest mean delay after a failed call, in milliseconds. A configuration must be in force 2 s
/// after its confirmation, even right after an outage.
const MAX_BACKOFF_MS: u64 = 1_000;

/// Delay after the first read before a node may become a reader, in milliseconds. Until then it knows
/// few members, and each of many nodes that start together would take itself for one.
const FIRST_READER_DELAY_MS: u64 = 1_000;

/// Contacts that all nodes of a fleet together write again in a second after a restore of the store. A
/// store takes several hundred writes a second, and nodes that start meanwhile find no other.
const FLEET_CONTACTS_PER_SECOND: u64 = 200;

/// Interval between checks whether this node reads the store, in milliseconds.
const READER_CHECK_INTERVAL_MS: u64 = 200;

/// Exponential back-off with jitter between failed calls.
struct Backoff {
    mean_ms: u64,
}

impl Backoff {
    fn new() -> Self {
        Backoff {
            mean_ms: MIN_BACKOFF_MS,
        }
    }

    async fn wait(&mut self, node: &Node, min_mean_ms: u64) {
        let mean_ms = self.mean_ms.max(min_mean_ms);
        let range = mean_ms / 2..=mean_ms * 3 / 2;
        let delay_ms = node.rng.borrow_mut().random_range(range);
        let retry_at = node.now().saturating_add_millis(delay_ms);
        self.mean_ms = (self.mean_ms * 2).min(MAX_BACKOFF_MS);
        node.clock.sleep_until(retry_at).await;
    }
}

/// Logs when the store becomes unavailable and available again.
struct StoreAvailability {
    task: &'static str,
    /// Calls that have failed since the last successful one.
    failed_calls: u64,
}

impl StoreAvailability {
    /// Records the result of a call that began at `started_at`.
    fn update(&mut self, node: &Node, started_at: Instant, error: Option<&StoreError>) {
        let Some(e) = error else {
            let failed_calls = std::mem::take(&mut self.failed_calls);
            if failed_calls > 0 {
                info!(node.logger, "the store answers again"; "task" => self.task,
                    "failed_calls" => failed_calls);
            }
            return;
        };
        self.failed_calls += 1;
        if self.failed_calls == 1 {
            warn!(node.logger, "the store does not answer"; "task" => self.task, "error" => %e,
                "us" => node.now().micros_since(started_at));
        }
    }
}

/// Registers this node in the store, reads the contacts of the other nodes, and registers it again when
/// the store has lost the contact.
///
/// Each node writes before it reads, so that of two nodes that start at the same time, the one that
/// writes later finds the other.
pub(crate) async fn join_fleet(node: Rc<Node>, store: Rc<dyn FleetStore>) {
    let own_contact = Contact {
        name: node.name().as_str().to_owned(),
        ip: node.settings.ip,
        udp_port: node.settings.listen_peer_udp.port(),
    };
    let mut registered_era = find_fleet(&node, &*store, &own_contact).await;
    loop {
        let era = wait_for_era_after(&node, registered_era).await;
        let nodes = node.members.borrow().members().count() as u64 + 1;
        let max_delay_ms = nodes * 1_000 / FLEET_CONTACTS_PER_SECOND;
        let delay_ms = node.rng.borrow_mut().random_range(0..=max_delay_ms);
        let write_at = node.now().saturating_add_millis(delay_ms);
        node.clock.sleep_until(write_at).await;
        registered_era = find_fleet(&node, &*store, &own_contact).await.max(era);
        node.metrics.count("store.contact_rewritten");
    }
}

/// Waits until this node knows of an era of the store after `era`, and returns it.
async fn wait_for_era_after(node: &Node, era: u64) -> u64 {
    loop {
        let changed = node.config_changed.notified();
        let known_era = node.config.borrow().progress().read_to.era;
        if known_era > era {
            return known_era;
        }
        changed.await;
    }
}

/// Writes the contact of this node and adds those of the others, until that has succeeded. Returns the
/// era of the store in which the contact was written.
async fn find_fleet(node: &Node, store: &dyn FleetStore, own_contact: &Contact) -> u64 {
    let mut backoff = Backoff::new();
    let mut availability = StoreAvailability {
        task: "join",
        failed_calls: 0,
    };
    loop {
        let started_at = node.now();
        let contacts = async {
            let era = store.register_contact(own_contact).await?;
            Ok((era, store.contacts().await?))
        };
        match contacts.await {
            Ok((era, contacts)) => {
                availability.update(node, started_at, None);
                count_rejected_records(node, &contacts.rejected_records);
                let contacts = contacts.contacts;
                info!(node.logger, "fleet found on the store"; "contacts" => contacts.len(),
                    "era" => era);
                let others = contacts
                    .iter()
                    .filter(|contact| contact.name != own_contact.name);
                let addrs: Vec<SocketAddr> = others
                    .map(|contact| SocketAddr::new(contact.ip, contact.udp_port))
                    .collect();
                node.members.borrow_mut().add_contacts(&addrs);
                return era;
            }
            Err(e) => {
                node.metrics.count("store.join_error");
                availability.update(node, started_at, Some(&e));
                backoff.wait(node, MIN_BACKOFF_MS).await;
            }
        }
    }
}

/// Follows the routes that operators publish, until the process exits.
pub(crate) async fn follow_routes(node: Rc<Node>, store: Rc<dyn FleetStore>) {
    let mut backoff = Backoff::new();
    let mut availability = StoreAvailability {
        task: "routes",
        failed_calls: 0,
    };
    let mut from: Option<Position> = None;
    // Reads in a row whose position the store does not have, or no longer has.
    let mut rejected_reads = 0_u32;
    let mut may_read_from = None;
    loop {
        let mut started_at = node.now();
        from = from.filter(|from| from.era >= store.era());
        let read = match from {
            None => store.newest_routes().await,
            Some(from) => {
                node.clock
                    .sleep_until(may_read_from.unwrap_or_default())
                    .await;
                let wait_ms = wait_for_reader_role(&node).await;
                started_at = node.now();
                let from = from.max(node.config.borrow().progress().read_to);
                tokio::select! {
                    read = store.wait_for_routes(from, wait_ms) => read,
                    () = wait_for_loss_of_reader_role(&node) => continue,
                }
            }
        };
        node.metrics.count("store.read");
        match read {
            Ok(published) => {
                availability.update(&node, started_at, None);
                if published.from.is_some() {
                    rejected_reads = 0;
                }
                if rejected_reads == 0 {
                    backoff = Backoff::new();
                }
                node.members.borrow_mut().set_store_reads_fail(false);
                from = Some(published.read_to);
                let first_reader_at = node.now().saturating_add_millis(FIRST_READER_DELAY_MS);
                may_read_from.get_or_insert(first_reader_at);
                apply_published(&node, published).await;
            }
            Err(e @ (StoreError::Expired | StoreError::Restored { .. })) => {
                node.metrics.count("store.expired");
                if rejected_reads == 0 {
                    let read_to = node.config.borrow().progress().read_to;
                    warn!(node.logger, "records of the store are missing"; "error" => %e,
                        "era" => read_to.era, "read_to" => read_to.offset);
                } else {
                    // The snapshot did not help, for example because the log became shorter without a
                    // new era.
                    backoff.wait(&node, MIN_BACKOFF_MS).await;
                }
                rejected_reads += 1;
                from = None;
            }
            Err(e) => {
                node.metrics.count("store.read_error");
                availability.update(&node, started_at, Some(&e));
                node.members.borrow_mut().set_store_reads_fail(true);
                backoff.wait(&node, min_backoff_ms(&node)).await;
            }
        }
    }
}

/// Returns the shortest mean delay before a failed read is repeated, in milliseconds.
fn min_backoff_ms(node: &Node) -> u64 {
    let reader = node.members.borrow().config_reader(node.now());
    reader.map_or(MIN_BACKOFF_MS, |reader| reader.retry_delay_ms)
}

/// Waits until this node is one of the members that read the store. Returns how long its read may
/// wait for a change, in milliseconds.
async fn wait_for_reader_role(node: &Node) -> u64 {
    let mut is_reader = true;
    loop {
        let reader = node.members.borrow().config_reader(node.now());
        if reader.is_some() != is_reader {
            is_reader = reader.is_some();
            log_reader_role(node, is_reader);
        }
        match reader {
            Some(reader) => return reader.read_wait_ms,
            None => wait_for_reader_check(node).await,
        }
    }
}

/// Waits until this node is no longer one of the members that read the store.
async fn wait_for_loss_of_reader_role(node: &Node) {
    let is_reader = || {
        let members = node.members.borrow();
        members.config_reader(node.now()).is_some()
    };
    while is_reader() {
        wait_for_reader_check(node).await;
    }
}

async fn wait_for_reader_check(node: &Node) {
    let next_check = node.now().saturating_add_millis(READER_CHECK_INTERVAL_MS);
    node.clock.sleep_until(next_check).await;
}

fn log_reader_role(node: &Node, is_reader: bool) {
    node.metrics.gauge("store.reader", is_reader.into());
    info!(node.logger, "reading of the store"; "is_reader" => is_reader);
}

/// Counts records that could not be decoded, and logs the first of them.
fn count_rejected_records(node: &Node, reasons: &[String]) {
    node.metrics.add("store.bad_record", reasons.len() as i64);
    if let Some(reason) = reasons.first() {
        warn!(node.logger, "record of the store refused"; "count" => reasons.len(),
            "reason" => reason);
    }
}

async fn apply_published(node: &Rc<Node>, published: PublishedRoutes) {
    count_rejected_records(node, &published.rejected_records);
    let read_to = published.read_to;
    let records = PublishedRecords {
        from: published.from,
        read_to,
        table: published.table,
        evacuations: published.evacuations,
    };
    let effect = {
        let mut config = node.config.borrow_mut();
        let effect = config.apply_published(records);
        if let Some(table) = config.routes().filter(|_| effect.routes_changed) {
            config_sync::record_routes(node, table, read_to, None);
        }
        effect
    };
    if effect.is_register_full {
        node.metrics.count("store.bad_record");
        warn!(node.logger, "evacuation ignored"; "era" => read_to.era, "read_to" => read_to.offset,
            "reason" => "there are too many evacuated data centres");
    }
    if effect.is_change() {
        config_sync::on_state_changed(node, effect.routes_changed, true).await;
    }
}
