//! Routes, which map a request's host and path to services and set its timeouts, attempts and
//! priority.
//!
//! A [`RouteTable`] is immutable; a new version of the configuration replaces it as a whole.

use std::rc::Rc;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{
    collections::HashMap,
    hash::fnv1a,
    ids::{Region, ServiceName},
    workspace::WorkspaceTable,
};

/// Factor from weights in the operator's configuration to integer weights, which keeps three
/// decimal places.
pub const WEIGHT_SCALE: u32 = 1_000;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request is idempotent and may run several times.
    Allowed,
    /// The request runs at most once.
    Never,
}

/// A service of a route and the share of requests that it receives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Weight relative to the other services of the route, in units of 1 / [`WEIGHT_SCALE`].
    pub weight: u32,
}

/// Routing rule for one host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name given by the operator.
    pub name: Rc<str>,
    /// Host name in lower case, without a port.
    pub host: Rc<str>,
    /// Path prefix; starts and ends with a slash.
    pub prefix: Rc<str>,
    /// Services in the order of the configuration; at least one.
    pub shares: Vec<Share>,
    /// Whether requests are idempotent and may run more than once.
    pub repeat: Repeat,
    /// Request timeout over all attempts, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds: a response within this time is worth most to callers.
    pub latency_target_ms: u64,
    /// Maximum number of targets that one request may be sent to.
    pub attempts: u32,
    /// Priority level; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no key of a workspace.
    pub public: bool,
    /// Regions whose targets may get requests of the route; empty for all.
    pub allowed_regions: Vec<Region>,
}

/// What the targets of a service can do while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time for which a target is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Requests that a cold target can start in 1,000 seconds.
    pub per_1000_s: u64,
}

/// Health check path and connection limit of a service's targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Name of the service.
    pub service: ServiceName,
    /// Path of the health check.
    pub health_path: Rc<str>,
    /// Maximum number of connections to one target, from all callers together.
    pub max_connections: u32,
    /// Limit on cold targets; `None` if targets are never cold.
    pub warm_up: Option<WarmUp>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Time limit for receiving a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// All routes of one version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version number from the operator; increases, but not always by one.
    version: u64,
    /// Sorted by host, then by decreasing prefix length.
    routes: Vec<Rc<Route>>,
    /// Sorted by name.
    services: Vec<ServiceRule>,
    limits: CallerLimits,
    /// `None` if requests need no key.
    workspaces: Option<WorkspaceTable>,
}

impl RouteTable {
    /// Creates a table from routes and service rules in any order.
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
            workspaces: None,
        }
    }

    /// Returns the table with workspaces. Requests on routes that are not public need a key then.
    pub fn with_workspaces(self, workspaces: WorkspaceTable) -> Self {
        RouteTable {
            workspaces: Some(workspaces),
            ..self
        }
    }

    /// Returns the workspaces; `None` if requests need no key.
    pub fn workspaces(&self) -> Option<&WorkspaceTable> {
        self.workspaces.as_ref()
    }

    /// Returns whether requests compete for the targets of a service with different claims: there are
    /// workspaces, or routes of one service differ in priority. Guards then shed load by value.
    pub fn has_competing_requests(&self) -> bool {
        if self.workspaces.is_some() {
            return true;
        }
        let mut priorities: HashMap<&ServiceName, u32> = HashMap::default();
        self.routes.iter().any(|route| {
            route.shares.iter().any(|share| {
                let first = priorities.entry(&share.service).or_insert(route.priority);
                *first != route.priority
            })
        })
    }

    /// Returns the version number that the operator gave the table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the routes in the order in which they are matched.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.iter()
    }

    /// Returns the rule of a service, or `None` if the table does not have the service.
    pub fn service_rule(&self, name: &str) -> Option<&ServiceRule> {
        let index = self
            .services
            .binary_search_by(|rule| rule.service.as_str().cmp(name));
        index.ok().map(|index| &self.services[index])
    }

    /// Returns the route of `host` with the longest matching prefix of `path`.
    ///
    /// `host` must be in lower case, without a port.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let start = self.routes.partition_point(|route| &*route.host < host);
        self.routes[start..]
            .iter()
            .take_while(|route| &*route.host == host)
            .find(|route| path.starts_with(&*route.prefix))
    }
}

impl Route {
    /// Chooses a service at random, in proportion to the weights.
    pub fn choose_service(&self, rng: &mut dyn Rng) -> &ServiceName {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total > 0 {
            let mut remaining = rng.random_range(0..total);
            for share in &self.shares {
                let weight = u64::from(share.weight);
                if remaining < weight {
                    return &share.service;
                }
                remaining -= weight;
            }
        }
        &self.shares[0].service
    }

    /// Returns the class of the route's requests, a hash of the route name.
    ///
    /// Guards keep service times per class. A collision of two routes is harmless.
    pub fn request_class(&self) -> u32 {
        fnv1a(self.name.as_bytes())
    }

    /// Returns whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.repeat == Repeat::Allowed
    }
}
