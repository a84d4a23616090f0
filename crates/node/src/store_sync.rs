//! What a node reads from and writes to the platform's store.

use std::{net::SocketAddr, rc::Rc};

use rand::RngExt;
use slog::{info, warn};

use crate::{
    border::{Contact, FleetStore, Published, StoreError},
    config_sync,
    node::Node,
};

/// Shortest pause after a failed call, in milliseconds.
const RETRY_MIN_MS: u64 = 200;

/// Longest pause after a failed call, in milliseconds. A configuration is to be in force
/// 2 s after its confirmation, also right after an outage.
const RETRY_MAX_MS: u64 = 1_000;

/// Time between two looks whether this node is to read the store, in milliseconds.
const DUTY_EVERY_MS: u64 = 200;

/// Pauses between failed calls, which grow and are spread at random.
struct Backoff {
    mean_ms: u64,
}

impl Backoff {
    fn new() -> Self {
        Backoff {
            mean_ms: RETRY_MIN_MS,
        }
    }

    async fn wait(&mut self, node: &Node) {
        let range = self.mean_ms / 2..=self.mean_ms * 3 / 2;
        let pause_ms = node.rng.borrow_mut().random_range(range);
        let until = node.now().saturating_add_millis(pause_ms);
        self.mean_ms = (self.mean_ms * 2).min(RETRY_MAX_MS);
        node.clock.sleep_until(until).await;
    }
}

/// Logs when the store is lost and regained.
struct Reach {
    is_up: bool,
    task: &'static str,
}

impl Reach {
    fn note(&mut self, node: &Node, error: Option<&StoreError>) {
        if error.is_none() == self.is_up {
            return;
        }
        self.is_up = error.is_none();
        match error {
            None => info!(node.logger, "the store answers again"; "task" => self.task),
            Some(e) => {
                warn!(node.logger, "the store does not answer"; "task" => self.task, "error" => %e);
            }
        }
    }
}

/// Makes this node known to the fleet, and finds the other nodes.
///
/// Each node writes before it reads. Of two nodes that start at the same time, the one that
/// writes later therefore finds the other.
pub(crate) async fn join(node: Rc<Node>, store: Rc<dyn FleetStore>) {
    let own = Contact {
        name: node.name().as_str().to_owned(),
        ip: node.settings.ip,
        udp_port: node.settings.listen_peer_udp.port(),
    };
    let mut backoff = Backoff::new();
    let mut reach = Reach {
        is_up: true,
        task: "join",
    };
    loop {
        let contacts = async {
            store.register(&own).await?;
            store.contacts().await
        };
        match contacts.await {
            Ok(contacts) => {
                reach.note(&node, None);
                info!(node.logger, "fleet found on the store"; "contacts" => contacts.len());
                let others = contacts.iter().filter(|contact| contact.name != own.name);
                let addrs: Vec<SocketAddr> = others
                    .map(|contact| SocketAddr::new(contact.ip, contact.udp_port))
                    .collect();
                node.members.borrow_mut().add_contacts(&addrs);
                return;
            }
            Err(e) => {
                node.metrics.count("store.join_error");
                reach.note(&node, Some(&e));
                backoff.wait(&node).await;
            }
        }
    }
}

/// Follows the routes that operators publish, until the process exits.
pub(crate) async fn follow_routes(node: Rc<Node>, store: Rc<dyn FleetStore>) {
    let mut backoff = Backoff::new();
    let mut reach = Reach {
        is_up: true,
        task: "routes",
    };
    let mut from: Option<u64> = None;
    loop {
        let read = match from {
            None => store.newest_routes().await,
            Some(from) => {
                let read = store.next_routes(from.max(node.register.borrow().read_to()));
                tokio::select! {
                    read = read => read,
                    () = wait_for_duty(&node, false) => {
                        wait_for_duty(&node, true).await;
                        continue;
                    }
                }
            }
        };
        node.metrics.count("store.read");
        match read {
            Ok(published) => {
                reach.note(&node, None);
                backoff = Backoff::new();
                from = Some(published.read_to);
                put_in_force(&node, published).await;
            }
            Err(StoreError::Expired) => from = None,
            Err(e) => {
                node.metrics.count("store.read_error");
                reach.note(&node, Some(&e));
                backoff.wait(&node).await;
            }
        }
    }
}

/// Waits until this node is, or is not, one of those that read the store.
async fn wait_for_duty(node: &Node, is_reader: bool) {
    while node.members.borrow().is_config_reader(node.now()) != is_reader {
        let at = node.now().saturating_add_millis(DUTY_EVERY_MS);
        node.clock.sleep_until(at).await;
    }
}

async fn put_in_force(node: &Rc<Node>, published: Published) {
    for reason in &published.refused {
        node.metrics.count("store.bad_record");
        warn!(node.logger, "record of the store refused"; "reason" => reason);
    }
    let Some(table) = published.table else {
        return;
    };
    let (version, routes) = (table.version(), table.len());
    let changed = node
        .register
        .borrow_mut()
        .apply_published_routes(published.read_to, table);
    if changed {
        info!(node.logger, "routes in force"; "version" => version, "routes" => routes,
            "read_to" => published.read_to, "source" => "store");
        config_sync::after_change(node, true, true).await;
    }
}
