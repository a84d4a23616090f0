//! Content of a configuration, its limits, and the lookups that the rest of a node makes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, io,
    net::IpAddr,
};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Share of a target that no rule names.
pub const DEFAULT_SHARE: u32 = 100;

/// Largest share of a target, ten times the default.
pub const MAX_SHARE: u32 = 1_000;

/// Processor share for measuring before the operators have confirmed one, in permille of a
/// core.
///
/// It is zero, because measuring may use only the share that was confirmed, which a node that
/// has not read the configuration yet does not know.
pub const DEFAULT_MEASURING_PERMILLE: u32 = 0;

/// Largest processor share for measuring: a whole core.
pub const MAX_MEASURING_PERMILLE: u32 = 1_000;

/// Longest name of a service, node, data centre, method or author, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Longest JSON encoding of a content.
///
/// A state holds one content and at most as much again in earlier versions and decisions,
/// and has to fit into one 256 KiB frame between nodes.
pub const MAX_CONTENT_BYTES: usize = 64 * 1024;

/// The targets that a share applies to.
///
/// Written as `data_centre:NAME` or `node:NAME`, because JSON keys are strings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum ShareKey {
    /// All targets of the service in a data centre.
    DataCentre(String),
    /// The target of a node; takes precedence over its data centre.
    Node(String),
}

/// A share key is neither `data_centre:NAME` nor `node:NAME`.
#[derive(Debug, Snafu)]
#[snafu(display("share key {key:?} is neither data_centre:NAME nor node:NAME"))]
pub struct ShareKeyError {
    key: String,
}

impl fmt::Display for ShareKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ShareKey::DataCentre(name) => write!(f, "data_centre:{name}"),
            ShareKey::Node(name) => write!(f, "node:{name}"),
        }
    }
}

impl From<ShareKey> for String {
    fn from(key: ShareKey) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for ShareKey {
    type Error = ShareKeyError;

    fn try_from(key: String) -> Result<Self, Self::Error> {
        match key.split_once(':') {
            Some(("data_centre", name)) => Ok(ShareKey::DataCentre(name.to_owned())),
            Some(("node", name)) => Ok(ShareKey::Node(name.to_owned())),
            _ => ShareKeySnafu { key }.fail(),
        }
    }
}

/// A target, host or data centre that takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Leaving {
    /// The target of a node.
    Target(String),
    /// All targets on a host.
    Host(IpAddr),
    /// All targets in a data centre.
    DataCentre(String),
}

impl fmt::Display for Leaving {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Leaving::Target(name) => write!(f, "target {name}"),
            Leaving::Host(address) => write!(f, "host {address}"),
            Leaving::DataCentre(name) => write!(f, "data centre {name}"),
        }
    }
}

/// Rules of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRules {
    /// Shares by data centre or node. They must not all be zero.
    #[serde(default)]
    pub shares: BTreeMap<ShareKey, u32>,
    /// Methods whose requests may run more than once, besides the methods that HTTP
    /// defines as idempotent.
    #[serde(default)]
    pub repeatable: BTreeSet<String>,
}

impl ServiceRules {
    /// Returns whether there are neither shares nor repeatable methods.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty() && self.repeatable.is_empty()
    }
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Content {
    /// Rules by service; a service without rules has no entry.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceRules>,
    /// Targets, hosts and data centres that take no new work.
    #[serde(default)]
    pub leaving: BTreeSet<Leaving>,
    /// Share of a core that measuring may take, in permille.
    #[serde(default = "default_measuring_permille")]
    pub measuring_permille: u32,
}

fn default_measuring_permille() -> u32 {
    DEFAULT_MEASURING_PERMILLE
}

impl Default for Content {
    fn default() -> Self {
        Content {
            services: BTreeMap::new(),
            leaving: BTreeSet::new(),
            measuring_permille: DEFAULT_MEASURING_PERMILLE,
        }
    }
}

/// Why a content is invalid.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
#[expect(missing_docs, reason = "The messages name the fields.")]
pub enum ContentError {
    /// A name is empty, too long, or has control characters.
    #[snafu(display(
        "name {name:?} is empty, longer than {MAX_NAME_BYTES} bytes, or has control characters"
    ))]
    Name { name: String },
    /// A method is not an HTTP method token.
    #[snafu(display("method {method:?} of service {service} is not an HTTP method"))]
    Method { service: String, method: String },
    /// A share is above the largest one.
    #[snafu(display("share {share} of {key} for service {service} is above {MAX_SHARE}"))]
    ShareTooHigh {
        service: String,
        key: ShareKey,
        share: u32,
    },
    /// The service would get no traffic at all.
    #[snafu(display("all shares of service {service} are zero"))]
    SharesAllZero { service: String },
    /// The processor share for measuring is above a whole core.
    #[snafu(display("measuring share {permille} is above {MAX_MEASURING_PERMILLE} permille"))]
    MeasuringTooHigh { permille: u32 },
    /// The JSON encoding is too long.
    #[snafu(display("the configuration has {bytes} bytes, above {MAX_CONTENT_BYTES}"))]
    TooLarge { bytes: usize },
}

impl Content {
    /// Returns whether the configuration lists the method of the service as repeatable.
    ///
    /// The caller has to allow for the methods that HTTP defines as idempotent.
    pub fn is_repeatable(&self, service: &str, method: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|rules| rules.repeatable.contains(method))
    }

    /// Returns the weight of a target of the service.
    ///
    /// The share of the node takes precedence over the share of its data centre;
    /// without either it is [`DEFAULT_SHARE`].
    pub fn weight(&self, service: &str, node: &str, data_centre: &str) -> u32 {
        let Some(rules) = self.services.get(service) else {
            return DEFAULT_SHARE;
        };
        let mut weight = DEFAULT_SHARE;
        for (key, share) in &rules.shares {
            match key {
                ShareKey::Node(name) if name == node => return *share,
                ShareKey::DataCentre(name) if name == data_centre => weight = *share,
                _ => {}
            }
        }
        weight
    }

    /// Returns whether the target of the node takes no new work, by its own name, its host
    /// or its data centre.
    pub fn is_leaving(&self, node: &str, host_ip: IpAddr, data_centre: &str) -> bool {
        self.leaving.iter().any(|leaving| match leaving {
            Leaving::Target(name) => name == node,
            Leaving::Host(address) => address.to_canonical() == host_ip.to_canonical(),
            Leaving::DataCentre(name) => name == data_centre,
        })
    }

    /// Returns the share of a core that measuring may take, in permille.
    pub fn measuring_permille(&self) -> u32 {
        self.measuring_permille
    }

    /// Checks the limits of every value and of the encoded size.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first value that is out of bounds.
    pub fn validate(&self) -> Result<(), ContentError> {
        for (service, rules) in &self.services {
            validate_name(service)?;
            validate_shares(service, &rules.shares)?;
            validate_methods(service, &rules.repeatable)?;
        }
        for leaving in &self.leaving {
            if let Leaving::Target(name) | Leaving::DataCentre(name) = leaving {
                validate_name(name)?;
            }
        }
        let permille = self.measuring_permille;
        ensure!(
            permille <= MAX_MEASURING_PERMILLE,
            MeasuringTooHighSnafu { permille }
        );
        let bytes = json_len(self);
        ensure!(bytes <= MAX_CONTENT_BYTES, TooLargeSnafu { bytes });
        Ok(())
    }
}

/// Checks the length and the characters of a name of a service, node, data centre or
/// author.
pub(super) fn validate_name(name: &str) -> Result<(), ContentError> {
    let in_bounds = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    ensure!(
        in_bounds && !name.chars().any(char::is_control),
        NameSnafu { name }
    );
    Ok(())
}

fn validate_shares(service: &str, shares: &BTreeMap<ShareKey, u32>) -> Result<(), ContentError> {
    for (key, &share) in shares {
        let (ShareKey::DataCentre(name) | ShareKey::Node(name)) = key;
        validate_name(name)?;
        ensure!(
            share <= MAX_SHARE,
            ShareTooHighSnafu {
                service,
                key: key.clone(),
                share
            }
        );
    }
    let all_zero = !shares.is_empty() && shares.values().all(|share| *share == 0);
    ensure!(!all_zero, SharesAllZeroSnafu { service });
    Ok(())
}

fn validate_methods(service: &str, methods: &BTreeSet<String>) -> Result<(), ContentError> {
    for method in methods {
        let is_token = !method.is_empty()
            && method.len() <= MAX_NAME_BYTES
            && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
        ensure!(is_token, MethodSnafu { service, method });
    }
    Ok(())
}

/// Returns the length of the JSON encoding without storing it.
pub(super) fn json_len<T: Serialize>(value: &T) -> usize {
    struct ByteCounter(usize);
    impl io::Write for ByteCounter {
        fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
            self.0 += buf.len();
            Ok(buf.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        // A value that can't be encoded can't be appended to the log either, so it counts
        // as too large.
        Err(_) => usize::MAX,
    }
}
