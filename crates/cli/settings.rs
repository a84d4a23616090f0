//! Settings of a node, read from its INI file.

use std::{
    fmt, fs,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::{
    ini_file::{IniError, SettingValues},
    keys::KEYS,
    value::SettingValue,
};

/// Environment variable with the bearer token.
pub(crate) const TOKEN_ENV_VAR: &str = "PLANTAINPOST_TOKEN";

/// Environment variable with the fleet key.
pub(crate) const KEY_ENV_VAR: &str = "PLANTAINPOST_KEY";

/// Minimum length of a fleet key: that of the HMAC digest.
const MIN_KEY_BYTES: usize = 32;

/// Minimum length of the bearer token.
const MIN_TOKEN_BYTES: usize = 16;

/// Error in the settings or in a file that they name.
#[derive(Debug, Snafu)]
pub(crate) enum SettingsError {
    #[snafu(transparent)]
    Ini { source: IniError },

    #[snafu(display(
        "{location}: can't read {secret_name} file {file}: {source}; check name and permissions"
    ))]
    ReadSecretFile {
        location: String,
        secret_name: &'static str,
        file: String,
        source: std::io::Error,
    },

    #[snafu(display(
        "{location}: {secret_name} has {bytes} bytes; allowed: at least {min_bytes} bytes"
    ))]
    SecretTooShort {
        location: String,
        secret_name: &'static str,
        bytes: usize,
        min_bytes: usize,
    },

    #[snafu(display(
        "{location}: the admin listener at {address} needs a token; set token_file in [security] \
         or {TOKEN_ENV_VAR}, or listen on loopback"
    ))]
    MissingToken {
        location: String,
        address: SocketAddr,
    },

    #[snafu(display(
        "{location}: the fleet key is missing; set key_file in [security] or {KEY_ENV_VAR}"
    ))]
    MissingFleetKey { location: String },

    #[snafu(display("{location}: `{key}` in [limits] is {value}; allowed: {allowed}"))]
    TimeoutOrder {
        location: String,
        key: &'static str,
        value: String,
        allowed: String,
    },
}

/// Fleet key or bearer token. The `Debug` output does not contain it.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Secret(Vec<u8>);

impl Secret {
    /// Returns the bytes of the secret.
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
    pub(crate) node: NodeSection,
    pub(crate) listen: ListenSection,
    /// UDP addresses of the nodes to join the fleet through.
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) log: LogSection,
    pub(crate) security: SecuritySection,
    pub(crate) limits: LimitsSection,
    pub(crate) platform: PlatformSection,
    pub(crate) retry: RetrySection,
    /// Name of the policy for choosing a target.
    pub(crate) policy: String,
    /// Latency penalty for each KiB that is sent to another data centre.
    pub(crate) transfer_cost: Duration,
    pub(crate) output: OutputSection,
}

/// Section `[node]`: name, location and interface of this node.
#[derive(Clone, Debug)]
pub(crate) struct NodeSection {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) region: String,
    pub(crate) ip: IpAddr,
    /// Whether the node uses the interface of the users' platform, not that of the product.
    pub(crate) is_on_platform: bool,
    pub(crate) service: Option<String>,
}

/// Section `[listen]`: addresses of the listeners.
#[derive(Clone, Debug)]
pub(crate) struct ListenSection {
    pub(crate) callers: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) peer_tcp: SocketAddr,
    pub(crate) peer_udp: SocketAddr,
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) metrics: Option<SocketAddr>,
}

/// Section `[log]`: how the log service is read.
#[derive(Clone, Debug)]
pub(crate) struct LogSection {
    /// Host and port of the log service.
    pub(crate) address: String,
    /// Minimum mean interval between two reads.
    pub(crate) poll: Duration,
}

/// Section `[platform]`: intervals and bounds set by the users' platform.
#[derive(Clone, Debug)]
pub(crate) struct PlatformSection {
    /// Interval between two announcements of the target.
    pub(crate) announce_every: Duration,
    /// Time after which the platform kills a stopping node. Replaces `stop_timeout` if it is set.
    pub(crate) grace: Option<Duration>,
    /// Time after a target has said that it leaves within which requests may reach it.
    pub(crate) target_drain: Duration,
    /// Maximum number of health checks of the target per second.
    pub(crate) probes_per_second: u64,
}

/// Section `[retry]`: budget for extra requests, that is, retries and hedges.
#[derive(Clone, Debug)]
pub(crate) struct RetrySection {
    /// Extra requests allowed at a node, in percent of successful requests.
    pub(crate) earned_percent: u64,
    /// Extra requests that all nodes together may send in addition to those of `earned_percent`.
    /// `None` if the fleet has no common budget.
    pub(crate) fleet_slack: Option<u64>,
}

/// Section `[security]`: fleet keys and bearer token.
#[derive(Clone, Debug)]
pub(crate) struct SecuritySection {
    pub(crate) key: Secret,
    /// Fleet key that is accepted too, for key rotation.
    pub(crate) second_key: Option<Secret>,
    /// Bearer token. Always set if the admin listener is not on loopback.
    pub(crate) token: Option<Secret>,
}

/// Section `[limits]`: bounds on sizes, counts and times of requests and connections.
#[derive(Clone, Debug)]
pub(crate) struct LimitsSection {
    pub(crate) header_bytes: u64,
    pub(crate) body_bytes: u64,
    pub(crate) connections: u64,
    /// Maximum number of queued requests, as a multiple of the target's slots.
    pub(crate) queue_factor: u64,
    /// At most `max_timeout`.
    pub(crate) default_timeout: Duration,
    /// At most `stop_timeout`.
    pub(crate) max_timeout: Duration,
    pub(crate) connect_timeout: Duration,
    pub(crate) head_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) stop_timeout: Duration,
}

/// Section `[output]`: log lines on standard output, and metrics over UDP.
#[derive(Clone, Debug)]
pub(crate) struct OutputSection {
    pub(crate) format: String,
    pub(crate) level: String,
    pub(crate) statsd: Option<SocketAddr>,
}

impl Settings {
    /// Reads the settings file and the secret files that it names.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read, or if a value or secret is invalid.
    pub(crate) fn load(file: &str) -> Result<(Self, SettingValues), SettingsError> {
        let values = SettingValues::read(file)?;
        let reader = SettingsReader {
            file,
            values: &values,
        };
        let settings = reader.settings()?;
        reader.check_consistency(&settings)?;
        Ok((settings, values))
    }
}

/// Returns the section, key and value of each setting that has a value. Contains no secret: the
/// settings only name the files with secrets.
pub(crate) fn effective_values(
    values: &SettingValues,
) -> impl Iterator<Item = (&'static str, &'static str, String)> {
    KEYS.iter().filter_map(|key| {
        let value = values.get(key.section, key.name)?;
        Some((key.section, key.name, value.to_string()))
    })
}

/// Converts the values of a file into settings.
struct SettingsReader<'a> {
    file: &'a str,
    values: &'a SettingValues,
}

/// Defines a method that returns a value of one type.
///
/// The table of keys determines the type of a value, so any other type is a bug.
macro_rules! define_getter {
    ($name:ident, $variant:ident, $type:ty) => {
        fn $name(&self, section: &'static str, name: &'static str) -> $type {
            match self.values.get(section, name) {
                Some(SettingValue::$variant(value)) => value.clone(),
                value => unreachable!("{section}.{name} is {value:?}"),
            }
        }
    };
}

impl SettingsReader<'_> {
    define_getter!(text, Text, String);
    define_getter!(ip, Ip, IpAddr);
    define_getter!(address, Address, SocketAddr);
    define_getter!(addresses, Addresses, Vec<SocketAddr>);
    define_getter!(duration, Duration, Duration);
    define_getter!(size, Size, u64);
    define_getter!(count, Count, u64);

    fn settings(&self) -> Result<Settings, SettingsError> {
        Ok(Settings {
            node: NodeSection {
                name: self.text("node", "name"),
                data_centre: self.text("node", "data_centre"),
                region: self.text("node", "region"),
                ip: self.ip("node", "ip"),
                is_on_platform: self.text("node", "interface") == "platform",
                service: self.optional_text("node", "service"),
            },
            listen: ListenSection {
                callers: self.address("listen", "callers"),
                admin: self.address("listen", "admin"),
                peer_tcp: self.address("listen", "peer_tcp"),
                peer_udp: self.address("listen", "peer_udp"),
                control: self.addresses("listen", "control"),
                metrics: self.optional_address("listen", "metrics"),
            },
            contacts: self.addresses("peers", "contacts"),
            log: LogSection {
                address: self.text("log", "address"),
                poll: self.duration("log", "poll"),
            },
            security: self.security()?,
            limits: self.limits(),
            platform: PlatformSection {
                announce_every: self.duration("platform", "announce_every"),
                target_drain: self.duration("platform", "target_drain"),
                probes_per_second: self.count("platform", "probes"),
                grace: match self.values.get("platform", "grace") {
                    Some(SettingValue::Duration(grace)) => Some(*grace),
                    _ => None,
                },
            },
            retry: RetrySection {
                earned_percent: self.count("retry", "earned"),
                fleet_slack: match self.values.get("retry", "fleet_slack") {
                    Some(SettingValue::Count(slack)) => Some(*slack),
                    _ => None,
                },
            },
            policy: self.text("balance", "policy"),
            transfer_cost: self.duration("balance", "transfer_cost"),
            output: OutputSection {
                format: self.text("output", "format"),
                level: self.text("output", "level"),
                statsd: self.optional_address("output", "statsd"),
            },
        })
    }

    fn optional_text(&self, section: &'static str, name: &'static str) -> Option<String> {
        match self.values.get(section, name) {
            Some(SettingValue::Text(text)) => Some(text.clone()),
            _ => None,
        }
    }

    fn optional_address(&self, section: &'static str, name: &'static str) -> Option<SocketAddr> {
        match self.values.get(section, name)? {
            SettingValue::Address(address) => Some(*address),
            value => unreachable!("{section}.{name} is {value:?}"),
        }
    }

    fn limits(&self) -> LimitsSection {
        LimitsSection {
            header_bytes: self.size("limits", "header"),
            body_bytes: self.size("limits", "body"),
            connections: self.count("limits", "connections"),
            queue_factor: self.count("limits", "queue"),
            default_timeout: self.duration("limits", "default_timeout"),
            max_timeout: self.duration("limits", "max_timeout"),
            connect_timeout: self.duration("limits", "connect_timeout"),
            head_timeout: self.duration("limits", "head_timeout"),
            idle_timeout: self.duration("limits", "idle_timeout"),
            stop_timeout: self.duration("limits", "stop_timeout"),
        }
    }

    fn security(&self) -> Result<SecuritySection, SettingsError> {
        let key = self.read_secret_file("key_file", "key", MIN_KEY_BYTES)?;
        let token = match self.read_secret_file("token_file", "token", MIN_TOKEN_BYTES)? {
            Some(token) => Some(token),
            None => secret_from_env(TOKEN_ENV_VAR, "token", MIN_TOKEN_BYTES)?,
        };
        let key = match key {
            Some(key) => Some(key),
            None => secret_from_env(KEY_ENV_VAR, "key", MIN_KEY_BYTES)?,
        };
        Ok(SecuritySection {
            key: key.context(MissingFleetKeySnafu {
                location: self.file,
            })?,
            second_key: self.read_secret_file("second_key_file", "second key", MIN_KEY_BYTES)?,
            token,
        })
    }

    /// Reads the secret from the file that a key of `[security]` names, if that key is present.
    fn read_secret_file(
        &self,
        key: &'static str,
        secret_name: &'static str,
        min_bytes: usize,
    ) -> Result<Option<Secret>, SettingsError> {
        let Some(SettingValue::Text(file)) = self.values.get("security", key) else {
            return Ok(None);
        };
        let location = self.location("security", key);
        let content = fs::read(file).with_context(|_| ReadSecretFileSnafu {
            location: location.clone(),
            secret_name,
            file,
        })?;
        check_secret(location, secret_name, content, min_bytes).map(Some)
    }

    /// Checks the rules that involve several settings.
    fn check_consistency(&self, settings: &Settings) -> Result<(), SettingsError> {
        let admin = settings.listen.admin;
        ensure!(
            admin.ip().is_loopback() || settings.security.token.is_some(),
            MissingTokenSnafu {
                location: self.location("listen", "admin"),
                address: admin
            }
        );
        let limits = &settings.limits;
        self.check_timeout_order(
            "default_timeout",
            limits.default_timeout,
            "max_timeout",
            limits.max_timeout,
        )?;
        self.check_timeout_order(
            "max_timeout",
            limits.max_timeout,
            "stop_timeout",
            limits.stop_timeout,
        )
    }

    fn check_timeout_order(
        &self,
        key: &'static str,
        value: Duration,
        max_key: &'static str,
        max: Duration,
    ) -> Result<(), SettingsError> {
        ensure!(
            value <= max,
            TimeoutOrderSnafu {
                location: self.location("limits", key),
                key,
                value: SettingValue::Duration(value).to_string(),
                allowed: format!(
                    "at most {max_key}, which is {}",
                    SettingValue::Duration(max)
                ),
            }
        );
        Ok(())
    }

    /// Returns the file and, if the key is present in it, the line number, for error messages.
    fn location(&self, section: &'static str, name: &'static str) -> String {
        match self.values.line_number(section, name) {
            0 => self.file.to_owned(),
            line_number => format!("{}:{line_number}", self.file),
        }
    }
}

/// Reads a secret from an environment variable. Returns `None` if it is unset or empty.
fn secret_from_env(
    variable: &'static str,
    secret_name: &'static str,
    min_bytes: usize,
) -> Result<Option<Secret>, SettingsError> {
    let secret = std::env::var_os(variable).filter(|secret| !secret.is_empty());
    let Some(secret) = secret else {
        return Ok(None);
    };
    let secret = secret.into_encoded_bytes();
    check_secret(variable.to_owned(), secret_name, secret, min_bytes).map(Some)
}

/// Strips white space at the end of a secret and checks its length.
fn check_secret(
    location: String,
    secret_name: &'static str,
    mut content: Vec<u8>,
    min_bytes: usize,
) -> Result<Secret, SettingsError> {
    content.truncate(content.trim_ascii_end().len());
    let bytes = content.len();
    ensure!(
        bytes >= min_bytes,
        SecretTooShortSnafu {
            location,
            secret_name,
            bytes,
            min_bytes
        }
    );
    Ok(Secret(content))
}
