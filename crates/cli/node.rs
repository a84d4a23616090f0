//! Runs a node with the settings of its file.

use std::{fs, io, rc::Rc, time::Duration};

use plantainpost_core::{
    ids::{DataCentre, NodeName, ServiceName},
    retry::RetryBudgetSettings,
};
use plantainpost_node::{
    Limits, NodeError, NodeSettings, Routing, RunSummary,
    external::{ExternalSystems, FleetStore, Platform, SettingsSource},
    settings::{FleetRetryBudget, StopLimits},
};
use plantainpost_platform::{ControlCodec, HEADERS, Store, StoreSettings};
use plantainpost_wire::auth::{FleetKeys, Key, KeyError};
use slog::Logger;
use snafu::Snafu;

use crate::settings::{Secret, Settings};

/// Error of the `run` command.
#[derive(Debug, Snafu)]
pub(crate) enum RunError {
    #[snafu(display("run: {source}"), context(false))]
    Node { source: NodeError },

    #[snafu(display("run: {source}; see key_file in [security]"), context(false))]
    Key { source: KeyError },
}

/// Runs a node until it has stopped gracefully.
///
/// # Errors
///
/// Fails if a fleet key is unusable or the node can't start.
pub(crate) async fn run(
    file: &str,
    settings: &Settings,
    logger: Logger,
) -> Result<RunSummary, RunError> {
    let external_systems = external_systems(file, settings);
    let settings = node_settings(settings)?;
    Ok(plantainpost_node::run(settings, external_systems, logger).await?)
}

/// Percentage of the grace period after which a stopping node aborts its requests in flight. The
/// rest is left for the process to exit before the platform kills it.
const STOP_TIMEOUT_PERCENT_OF_GRACE: u64 = 85;

/// Percentage of the grace period during which a stopping node still accepts requests.
const DRAIN_DELAY_PERCENT_OF_GRACE: u64 = 45;

/// Longest time for which a stopping node on the platform still accepts requests, in milliseconds. The
/// platform needs two failed readiness checks, 1 s apart, to send callers elsewhere, however long the
/// grace period is.
const MAX_DRAIN_DELAY_MS: u64 = 2_700;

fn external_systems(file: &str, settings: &Settings) -> ExternalSystems {
    let store = Rc::new(Store::new(StoreSettings {
        address: settings.log.address.clone(),
        ..Default::default()
    }));
    let platform = settings.node.is_on_platform.then(|| Platform {
        store: Rc::clone(&store) as Rc<dyn FleetStore>,
        control: Rc::new(ControlCodec),
    });
    ExternalSystems {
        log: store,
        settings: Box::new(SettingsFile(file.to_owned())),
        platform,
    }
}

/// The settings file with this path.
struct SettingsFile(String);

impl SettingsSource for SettingsFile {
    fn read(&self) -> io::Result<Vec<u8>> {
        fs::read(&self.0)
    }

    fn load(&self) -> Result<NodeSettings, String> {
        let (settings, _) = Settings::load(&self.0).map_err(|e| e.to_string())?;
        node_settings(&settings).map_err(|e| e.to_string())
    }
}

fn node_settings(settings: &Settings) -> Result<NodeSettings, KeyError> {
    let security = &settings.security;
    let key = |secret: &Secret| Key::new(secret.expose());
    let second_key = security.second_key.as_ref().map(key).transpose()?;
    let token = security.token.as_ref();
    let token = token.map(|token| String::from_utf8_lossy(token.expose()).into_owned());
    let is_on_platform = settings.node.is_on_platform;
    let service = settings.node.service.as_deref().map(ServiceName::from);
    Ok(NodeSettings {
        service,
        routing: match is_on_platform {
            true => Routing::ByRouteTable,
            false => Routing::ByHostName,
        },
        headers: match is_on_platform {
            true => HEADERS,
            false => Default::default(),
        },
        allow_close_delimited_responses: is_on_platform,
        announce_interval_ms: as_millis(settings.platform.announce_every),
        target_drain_ms: as_millis(settings.platform.target_drain),
        max_health_checks_per_second: settings.platform.probes_per_second,
        transfer_cost_us_per_kib: as_millis(settings.transfer_cost) * 1_000,
        retry_budgets: retry_budget_settings(settings),
        fleet_retry_budget: settings.retry.fleet_slack.map(|slack| FleetRetryBudget {
            extra_requests: slack,
        }),
        listen_control: settings.listen.control.clone(),
        listen_metrics: settings.listen.metrics,
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
        log_read_interval_ms: as_millis(settings.log.poll),
        keys: Some(FleetKeys::new(key(&security.key)?, second_key)),
        admin_token: token,
        policy: settings.policy.clone(),
        statsd: settings.output.statsd,
        limits: node_limits(settings),
    })
}

fn node_limits(settings: &Settings) -> Limits {
    let limits = &settings.limits;
    Limits {
        header_bytes: limits.header_bytes as usize,
        body_bytes: limits.body_bytes,
        caller_connections: limits.connections as usize,
        queue_factor: limits.queue_factor as u32,
        default_timeout_ms: as_millis(limits.default_timeout),
        max_timeout_ms: as_millis(limits.max_timeout),
        connect_timeout_ms: as_millis(limits.connect_timeout),
        head_timeout_ms: as_millis(limits.head_timeout),
        idle_timeout_ms: as_millis(limits.idle_timeout),
        stop: stop_limits(settings),
        ..Default::default()
    }
}

fn stop_limits(settings: &Settings) -> StopLimits {
    let Some(grace) = settings.platform.grace else {
        return StopLimits {
            timeout_ms: as_millis(settings.limits.stop_timeout),
            ..Default::default()
        };
    };
    let drain_delay_ms = as_millis(grace) * DRAIN_DELAY_PERCENT_OF_GRACE / 100;
    StopLimits {
        timeout_ms: as_millis(grace) * STOP_TIMEOUT_PERCENT_OF_GRACE / 100,
        drain_delay_ms: drain_delay_ms.min(MAX_DRAIN_DELAY_MS),
        serves_during_drain_delay: true,
    }
}

fn retry_budget_settings(settings: &Settings) -> RetryBudgetSettings {
    let has_fleet_budget = settings.retry.fleet_slack.is_some();
    let default = RetryBudgetSettings::default();
    RetryBudgetSettings {
        credit_percent: settings.retry.earned_percent,
        max_saved_percent: match has_fleet_budget {
            // The node sets its share of `fleet_slack` once it knows the number of members.
            true => 0,
            false => default.max_saved_percent,
        },
        credits_on_request: has_fleet_budget,
        has_min_rate: !has_fleet_budget,
        hedging_enabled: !has_fleet_budget,
    }
}

fn as_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
