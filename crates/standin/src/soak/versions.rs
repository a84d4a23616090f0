//! Observes during a round which version of the configuration each node serves.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use super::{SERVICES, checks::request_status};

/// Pause between two observations of a node.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(200);

/// What the injector tells the observers.
pub(super) struct Published {
    /// The highest version that may be in force at a node.
    pub(super) version: AtomicU64,
    /// Number of restarts of each node.
    pub(super) restarts: Vec<AtomicU64>,
}

/// Observers of all nodes, one thread each.
pub(super) struct VersionObservers {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Result<u64, String>>>,
}

impl VersionObservers {
    /// Starts to observe the nodes with the given addresses.
    pub(super) fn start(published: &Arc<Published>, addresses: &[SocketAddr]) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let threads = addresses.iter().enumerate().map(|(node, address)| {
            let mut observer = Observer {
                published: Arc::clone(published),
                node,
                address: *address,
                served: 0,
                restarts: 0,
            };
            let is_stopped = Arc::clone(&is_stopped);
            thread::spawn(move || {
                let mut observations = 0;
                while !is_stopped.load(Ordering::SeqCst) {
                    observations += u64::from(observer.observe()?);
                    thread::sleep(OBSERVE_INTERVAL);
                }
                Ok(observations)
            })
        });
        let threads = threads.collect();
        Self {
            is_stopped,
            threads,
        }
    }

    /// Stops and returns the number of observations of a served version. Fails if a node served an
    /// older version than before in the same incarnation.
    pub(super) fn stop(self) -> Result<u64, String> {
        self.is_stopped.store(true, Ordering::SeqCst);
        let mut observations = 0;
        for thread in self.threads {
            let result = thread.join();
            observations += result.map_err(|_| "an observer of versions panicked".to_owned())??;
        }
        Ok(observations)
    }
}

struct Observer {
    published: Arc<Published>,
    node: usize,
    address: SocketAddr,
    /// The highest version that the node has served in its incarnation; 0 if none.
    served: u64,
    restarts: u64,
}

impl Observer {
    /// Determines the version that the node serves by the route that only this version has. Returns
    /// whether that was possible.
    ///
    /// Fails if neither the version served before nor any newer one has its route. Versions are tried
    /// in ascending order, so that a change to a newer one meanwhile is not missed.
    fn observe(&mut self) -> Result<bool, String> {
        let restarts = self.restarts();
        if restarts != self.restarts {
            (self.restarts, self.served) = (restarts, 0);
        }
        let mut version = self.served.max(1);
        while version <= self.published.version.load(Ordering::SeqCst) {
            let path = format!("/v{version}/1");
            match request_status(self.address, SERVICES[0], &path) {
                Some(200) => {
                    if self.restarts() == restarts {
                        self.served = version;
                    }
                    return Ok(true);
                }
                Some(404) => version += 1,
                // Refused for another reason, or the node is frozen or not running.
                _ => return Ok(false),
            }
        }
        if self.served > 0 && self.restarts() == restarts {
            return Err(format!(
                "host-{} has served version {} and now answers 404 to the routes of it and of all \
                 newer versions up to {}",
                self.node,
                self.served,
                version - 1
            ));
        }
        Ok(false)
    }

    fn restarts(&self) -> u64 {
        self.published.restarts[self.node].load(Ordering::SeqCst)
    }
}
