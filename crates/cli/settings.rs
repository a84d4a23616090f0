//! Settings of a node, from its INI file.

use std::{
    fmt, fs,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::{
    ini_file::{IniError, Values},
    keys::KEYS,
    value::Value,
};

/// Environment variable with the bearer token.
pub(crate) const TOKEN_ENV_VAR: &str = "PLANTAINPOST_TOKEN";

/// Environment variable with the fleet key.
pub(crate) const KEY_ENV_VAR: &str = "PLANTAINPOST_KEY";

/// Least length of a fleet key in bytes, that of the HMAC's digest.
const MIN_KEY_BYTES: usize = 32;

/// Least length of the bearer token in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// Reason why settings were not accepted.
#[derive(Debug, Snafu)]
pub(crate) enum SettingsError {
    #[snafu(transparent)]
    Ini { source: IniError },

    #[snafu(display(
        "{place}: can't read {what} file {file}: {source}; check name and permissions"
    ))]
    ReadSecret {
        place: String,
        what: &'static str,
        file: String,
        source: std::io::Error,
    },

    #[snafu(display("{place}: {what} holds {bytes} bytes; allowed: at least {min} bytes"))]
    ShortSecret {
        place: String,
        what: &'static str,
        bytes: usize,
        min: usize,
    },

    #[snafu(display(
        "{place}: the admin listener at {address} needs a token; set token_file in [security] \
         or {TOKEN_ENV_VAR}, or listen on loopback"
    ))]
    NoToken { place: String, address: SocketAddr },

    #[snafu(display(
        "{place}: a fleet key is needed; set key_file in [security] or {KEY_ENV_VAR}"
    ))]
    NoKey { place: String },

    #[snafu(display("{place}: `{key}` in [limits] is {value}; allowed: {allowed}"))]
    Contradiction {
        place: String,
        key: &'static str,
        value: String,
        allowed: String,
    },
}

/// Key or token. Its value is never shown.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Secret(Vec<u8>);

impl Secret {
    /// Returns the value.
    pub(crate) fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(secret)")
    }
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) node: Node,
    pub(crate) listen: Listen,
    /// UDP addresses of nodes to contact first.
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) log: Log,
    pub(crate) security: Security,
    pub(crate) limits: Limits,
    pub(crate) platform: Platform,
    pub(crate) retry: Retry,
    /// Name of the policy for choosing a target.
    pub(crate) policy: String,
    /// Time that is worth as much as a KiB less between data centres.
    pub(crate) transfer_cost: Duration,
    pub(crate) output: Output,
}

/// This node and its place.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) region: String,
    pub(crate) ip: IpAddr,
    /// Whether the node speaks the interface of the users' platform.
    pub(crate) is_on_platform: bool,
    pub(crate) service: Option<String>,
}

/// Addresses of the listeners.
#[derive(Clone, Debug)]
pub(crate) struct Listen {
    pub(crate) callers: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) peer_tcp: SocketAddr,
    pub(crate) peer_udp: SocketAddr,
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) metrics: Option<SocketAddr>,
}

/// The log service.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    /// Host and port.
    pub(crate) address: String,
    /// Least mean time between two reads.
    pub(crate) poll: Duration,
}

/// The platform.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub(crate) announce_every: Duration,
    pub(crate) grace: Option<Duration>,
    /// Health checks of the target in a second.
    pub(crate) probes: u64,
}

/// Budgets of extra requests.
#[derive(Clone, Debug)]
pub(crate) struct Retry {
    /// Percent of successful requests.
    pub(crate) earned: u64,
    pub(crate) fleet_slack: Option<u64>,
}

/// Keys and token.
#[derive(Clone, Debug)]
pub(crate) struct Security {
    pub(crate) key: Secret,
    pub(crate) second_key: Option<Secret>,
    /// Always set if the admin listener is not on loopback.
    pub(crate) token: Option<Secret>,
}

/// Bounds on what a node accepts. Sizes are in bytes.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    pub(crate) header: u64,
    pub(crate) body: u64,
    pub(crate) connections: u64,
    /// Requests that may wait, as a multiple of the target's slots.
    pub(crate) queue: u64,
    /// At most `max_timeout`.
    pub(crate) default_timeout: Duration,
    /// At most `stop_timeout`.
    pub(crate) max_timeout: Duration,
    pub(crate) connect_timeout: Duration,
    pub(crate) head_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) stop_timeout: Duration,
}

/// Log lines on standard output.
#[derive(Clone, Debug)]
pub(crate) struct Output {
    pub(crate) format: String,
    pub(crate) level: String,
    pub(crate) statsd: Option<SocketAddr>,
}

impl Settings {
    /// Reads the settings file and the files that it names.
    ///
    /// # Errors
    ///
    /// Fails if the file, a value or a secret is not accepted.
    pub(crate) fn load(file: &str) -> Result<(Self, Values), SettingsError> {
        let values = Values::read(file)?;
        let reader = Reader {
            file,
            values: &values,
        };
        let settings = reader.settings()?;
        reader.check(&settings)?;
        Ok((settings, values))
    }
}

/// Returns the values in force as section, key and text. The values of secrets are in
/// files, so that none can be among them.
pub(crate) fn in_force(
    values: &Values,
) -> impl Iterator<Item = (&'static str, &'static str, String)> {
    KEYS.iter().filter_map(|key| {
        let value = values.get(key.section, key.name)?;
        Some((key.section, key.name, value.to_string()))
    })
}

/// Builds the settings from the values of a file.
struct Reader<'a> {
    file: &'a str,
    values: &'a Values,
}

/// Defines a method that returns a value of one kind.
///
/// The table of keys decides the kind of a value, so another kind is a broken invariant.
macro_rules! typed {
    ($name:ident, $variant:ident, $type:ty) => {
        fn $name(&self, section: &'static str, name: &'static str) -> $type {
            match self.values.get(section, name) {
                Some(Value::$variant(value)) => value.clone(),
                value => unreachable!("{section}.{name} is {value:?}"),
            }
        }
    };
}

impl Reader<'_> {
    typed!(text, Text, String);
    typed!(ip, Ip, IpAddr);
    typed!(address, Address, SocketAddr);
    typed!(addresses, Addresses, Vec<SocketAddr>);
    typed!(time, Time, Duration);
    typed!(size, Size, u64);
    typed!(count, Count, u64);

    fn settings(&self) -> Result<Settings, SettingsError> {
        Ok(Settings {
            node: Node {
                name: self.text("node", "name"),
                data_centre: self.text("node", "data_centre"),
                region: self.text("node", "region"),
                ip: self.ip("node", "ip"),
                is_on_platform: self.text("node", "interface") == "platform",
                service: self.optional_text("node", "service"),
            },
            listen: Listen {
                callers: self.address("listen", "callers"),
                admin: self.address("listen", "admin"),
                peer_tcp: self.address("listen", "peer_tcp"),
                peer_udp: self.address("listen", "peer_udp"),
                control: self.addresses("listen", "control"),
                metrics: self.optional_address("listen", "metrics"),
            },
            contacts: self.addresses("peers", "contacts"),
            log: Log {
                address: self.text("log", "address"),
                poll: self.time("log", "poll"),
            },
            security: self.security()?,
            limits: self.limits(),
            platform: Platform {
                announce_every: self.time("platform", "announce_every"),
                probes: self.count("platform", "probes"),
                grace: match self.values.get("platform", "grace") {
                    Some(Value::Time(grace)) => Some(*grace),
                    _ => None,
                },
            },
            retry: Retry {
                earned: self.count("retry", "earned"),
                fleet_slack: match self.values.get("retry", "fleet_slack") {
                    Some(Value::Count(slack)) => Some(*slack),
                    _ => None,
                },
            },
            policy: self.text("balance", "policy"),
            transfer_cost: self.time("balance", "transfer_cost"),
            output: Output {
                format: self.text("output", "format"),
                level: self.text("output", "level"),
                statsd: self.optional_address("output", "statsd"),
            },
        })
    }

    fn optional_text(&self, section: &'static str, name: &'static str) -> Option<String> {
        match self.values.get(section, name) {
            Some(Value::Text(text)) => Some(text.clone()),
            _ => None,
        }
    }

    fn optional_address(&self, section: &'static str, name: &'static str) -> Option<SocketAddr> {
        match self.values.get(section, name)? {
            Value::Address(address) => Some(*address),
            value => unreachable!("{section}.{name} is {value:?}"),
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            header: self.size("limits", "header"),
            body: self.size("limits", "body"),
            connections: self.count("limits", "connections"),
            queue: self.count("limits", "queue"),
            default_timeout: self.time("limits", "default_timeout"),
            max_timeout: self.time("limits", "max_timeout"),
            connect_timeout: self.time("limits", "connect_timeout"),
            head_timeout: self.time("limits", "head_timeout"),
            idle_timeout: self.time("limits", "idle_timeout"),
            stop_timeout: self.time("limits", "stop_timeout"),
        }
    }

    fn security(&self) -> Result<Security, SettingsError> {
        let key = self.secret("key_file", "key", MIN_KEY_BYTES)?;
        let token = match self.secret("token_file", "token", MIN_TOKEN_BYTES)? {
            Some(token) => Some(token),
            None => from_environment(TOKEN_ENV_VAR, "token", MIN_TOKEN_BYTES)?,
        };
        let key = match key {
            Some(key) => Some(key),
            None => from_environment(KEY_ENV_VAR, "key", MIN_KEY_BYTES)?,
        };
        Ok(Security {
            key: key.context(NoKeySnafu { place: self.file })?,
            second_key: self.secret("second_key_file", "second key", MIN_KEY_BYTES)?,
            token,
        })
    }

    /// Reads the file that a key of `[security]` names.
    fn secret(
        &self,
        key: &'static str,
        what: &'static str,
        min: usize,
    ) -> Result<Option<Secret>, SettingsError> {
        let Some(Value::Text(file)) = self.values.get("security", key) else {
            return Ok(None);
        };
        let place = self.place("security", key);
        let content = fs::read(file).with_context(|_| ReadSecretSnafu {
            place: place.clone(),
            what,
            file,
        })?;
        accept_secret(place, what, content, min).map(Some)
    }

    /// Checks rules between several settings.
    fn check(&self, settings: &Settings) -> Result<(), SettingsError> {
        let admin = settings.listen.admin;
        ensure!(
            admin.ip().is_loopback() || settings.security.token.is_some(),
            NoTokenSnafu {
                place: self.place("listen", "admin"),
                address: admin
            }
        );
        let limits = &settings.limits;
        self.check_order(
            "default_timeout",
            limits.default_timeout,
            "max_timeout",
            limits.max_timeout,
        )?;
        self.check_order(
            "max_timeout",
            limits.max_timeout,
            "stop_timeout",
            limits.stop_timeout,
        )
    }

    fn check_order(
        &self,
        key: &'static str,
        value: Duration,
        bound_key: &'static str,
        bound: Duration,
    ) -> Result<(), SettingsError> {
        ensure!(
            value <= bound,
            ContradictionSnafu {
                place: self.place("limits", key),
                key,
                value: Value::Time(value).to_string(),
                allowed: format!("at most {bound_key}, which is {}", Value::Time(bound)),
            }
        );
        Ok(())
    }

    /// Returns the place of a key for messages.
    fn place(&self, section: &'static str, name: &'static str) -> String {
        match self.values.line(section, name) {
            0 => self.file.to_owned(),
            line => format!("{}:{line}", self.file),
        }
    }
}

/// Reads a secret from an environment variable, if it is set.
fn from_environment(
    variable: &'static str,
    what: &'static str,
    min: usize,
) -> Result<Option<Secret>, SettingsError> {
    let secret = std::env::var_os(variable).filter(|secret| !secret.is_empty());
    let Some(secret) = secret else {
        return Ok(None);
    };
    let secret = secret.into_encoded_bytes();
    accept_secret(variable.to_owned(), what, secret, min).map(Some)
}

/// Strips the line end and checks the length.
fn accept_secret(
    place: String,
    what: &'static str,
    mut content: Vec<u8>,
    min: usize,
) -> Result<Secret, SettingsError> {
    content.truncate(content.trim_ascii_end().len());
    let bytes = content.len();
    ensure!(
        bytes >= min,
        ShortSecretSnafu {
            place,
            what,
            bytes,
            min
        }
    );
    Ok(Secret(content))
}
