//! Start of the node with the settings of its file.

use std::time::Duration;

use plantainpost_core::ids::{DataCentre, NodeName};
use plantainpost_node::{Limits, NodeError, NodeSettings, Summary};
use plantainpost_wire::auth::{FleetKeys, Key, KeyError};
use slog::Logger;
use snafu::Snafu;

use crate::settings::{Secret, Settings};

/// Reason why the node did not start or stopped early.
#[derive(Debug, Snafu)]
pub(crate) enum RunError {
    #[snafu(display("run: {source}"), context(false))]
    Node { source: NodeError },

    #[snafu(display("run: {source}; see key_file in [security]"), context(false))]
    Key { source: KeyError },
}

/// Runs a node until a planned stop has ended.
///
/// # Errors
///
/// Fails if a key can't be used or the node does not start.
pub(crate) async fn run(settings: &Settings, logger: Logger) -> Result<Summary, RunError> {
    let settings = node_settings(settings)?;
    Ok(plantainpost_node::run(settings, logger).await?)
}

fn node_settings(settings: &Settings) -> Result<NodeSettings, KeyError> {
    let security = &settings.security;
    let key = |secret: &Secret| Key::new(secret.expose());
    let second = security.second_key.as_ref().map(key).transpose()?;
    let token = security.token.as_ref();
    let token = token.map(|token| String::from_utf8_lossy(token.expose()).into_owned());
    Ok(NodeSettings {
        name: NodeName::from(settings.node.name.as_str()),
        data_centre: DataCentre::from(settings.node.data_centre.as_str()),
        region: settings.node.region.clone(),
        ip: settings.node.ip,
        listen_callers: settings.listen.callers,
        listen_admin: settings.listen.admin,
        listen_peer_tcp: settings.listen.peer_tcp,
        listen_peer_udp: settings.listen.peer_udp,
        contacts: settings.contacts.clone(),
        log_address: settings.log.address.clone(),
        log_read_every_ms: millis(settings.log.poll),
        keys: Some(FleetKeys::new(key(&security.key)?, second)),
        admin_token: token,
        policy: settings.policy.clone(),
        statsd: settings.output.statsd,
        limits: limits(settings),
    })
}

fn limits(settings: &Settings) -> Limits {
    let limits = &settings.limits;
    Limits {
        header_bytes: limits.header as usize,
        body_bytes: limits.body,
        caller_connections: limits.connections as usize,
        queue_factor: limits.queue as u32,
        default_timeout_ms: millis(limits.default_timeout),
        max_timeout_ms: millis(limits.max_timeout),
        connect_timeout_ms: millis(limits.connect_timeout),
        head_timeout_ms: millis(limits.head_timeout),
        idle_timeout_ms: millis(limits.idle_timeout),
        stop_timeout_ms: millis(limits.stop_timeout),
        ..Default::default()
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
