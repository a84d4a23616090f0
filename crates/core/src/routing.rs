//! Routes: which requests go to which services, and how they are treated.
//!
//! A table is replaced as a whole. It never changes after it was made.

use std::rc::Rc;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;

/// Parts into which the weight of a split is divided, so that fractions keep their share.
pub const WEIGHT_SCALE: u32 = 1_000;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request is idempotent.
    Allowed,
    /// The request runs at most once.
    Never,
}

/// One service of a route and its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service that takes the share.
    pub service: ServiceName,
    /// Share relative to the other weights of the route, in units of 1 / [`WEIGHT_SCALE`].
    pub weight: u32,
}

/// Rule for the requests of one host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name given by the operator.
    pub name: Rc<str>,
    /// Host name in lower case, without a port.
    pub host: Rc<str>,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: Rc<str>,
    /// Services in order of declaration; at least one.
    pub shares: Vec<Share>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most, in milliseconds.
    pub latency_target_ms: u64,
    /// Largest number of targets that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
}

/// How the targets of a service are reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Name of the service.
    pub service: ServiceName,
    /// Path of the health check.
    pub health_path: Rc<str>,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub header_bytes: u64,
    /// Longest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time for the head of a request, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an unused connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// All routes of one version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version given by the operator; rises in uneven steps.
    version: u64,
    /// Sorted by host, then by falling length of the prefix.
    routes: Vec<Rc<Route>>,
    /// Sorted by name.
    services: Vec<ServiceRule>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Makes a table.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<ServiceRule>,
        limits: CallerLimits,
    ) -> Self {
        routes.sort_by(|a, b| {
            let by_prefix = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(by_prefix)
        });
        services.sort_by(|a, b| a.service.cmp(&b.service));
        RouteTable {
            version,
            routes: routes.into_iter().map(Rc::new).collect(),
            services,
            limits,
        }
    }

    /// Returns the operator's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds on callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Reports whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the rule of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        let at = self
            .services
            .binary_search_by(|rule| rule.service.as_str().cmp(name));
        at.ok().map(|at| &self.services[at])
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    ///
    /// `host` is in lower case, without a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let start = self.routes.partition_point(|route| &*route.host < host);
        self.routes[start..]
            .iter()
            .take_while(|route| &*route.host == host)
            .find(|route| path.starts_with(&*route.prefix))
    }
}

impl Route {
    /// Draws a service by weight.
    pub fn draw(&self, rng: &mut dyn Rng) -> &ServiceName {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total > 0 {
            let mut at = rng.random_range(0..total);
            for share in &self.shares {
                let weight = u64::from(share.weight);
                if at < weight {
                    return &share.service;
                }
                at -= weight;
            }
        }
        &self.shares[0].service
    }

    /// Returns a number that tells the requests of this route from those of others. Equal
    /// numbers of two routes do no harm.
    pub fn class(&self) -> u32 {
        // FNV-1a, which gives the same number on every node.
        let fold = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(16_777_619);
        self.name.bytes().fold(2_166_136_261, fold)
    }

    /// Reports whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.repeat == Repeat::Allowed
    }
}
