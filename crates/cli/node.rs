//! Start of the node with the settings of its file.

use std::{rc::Rc, time::Duration};

use plantainpost_core::{
    ids::{DataCentre, NodeName, ServiceName},
    retry::RetryBudgetSettings,
};
use plantainpost_node::{
    Limits, NodeError, NodeSettings, Routing, Summary,
    border::{Borders, FleetStore, Platform},
    settings::FleetBudget,
};
use plantainpost_platform::{ControlCodec, HEADERS, Store, StoreSettings};
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
pub(crate) async fn run(
    file: &str,
    settings: &Settings,
    logger: Logger,
) -> Result<Summary, RunError> {
    let borders = borders(file, settings);
    let settings = node_settings(settings)?;
    Ok(plantainpost_node::run(settings, borders, logger).await?)
}

/// Part of the grace time after which requests in flight are cut at a stop, in percent. The
/// rest is for the end of the process.
const STOP_PERCENT_OF_GRACE: u64 = 85;

/// Part of the grace time during which a stopping node still takes requests, in percent: the
/// platform needs two missed readiness checks, 1 s apart, to send callers elsewhere.
const LINGER_PERCENT_OF_GRACE: u64 = 45;

fn borders(file: &str, settings: &Settings) -> Borders {
    let store = Rc::new(Store::new(StoreSettings {
        address: settings.log.address.clone(),
        ..Default::default()
    }));
    let platform = settings.node.is_on_platform.then(|| Platform {
        store: Rc::clone(&store) as Rc<dyn FleetStore>,
        control: Rc::new(ControlCodec),
    });
    let file = file.to_owned();
    Borders {
        log: store,
        reload: Box::new(move || {
            let (settings, _) = Settings::load(&file).map_err(|e| e.to_string())?;
            node_settings(&settings).map_err(|e| e.to_string())
        }),
        platform,
    }
}

fn node_settings(settings: &Settings) -> Result<NodeSettings, KeyError> {
    let security = &settings.security;
    let key = |secret: &Secret| Key::new(secret.expose());
    let second = security.second_key.as_ref().map(key).transpose()?;
    let token = security.token.as_ref();
    let token = token.map(|token| String::from_utf8_lossy(token.expose()).into_owned());
    let is_platform = settings.node.is_on_platform;
    let service = settings.node.service.as_deref().map(ServiceName::from);
    Ok(NodeSettings {
        service,
        routing: match is_platform {
            true => Routing::ByTable,
            false => Routing::ByName,
        },
        headers: match is_platform {
            true => HEADERS,
            false => Default::default(),
        },
        unframed_answers: is_platform,
        announce_every_ms: millis(settings.platform.announce_every),
        probes_per_second: settings.platform.probes,
        transfer_us_per_kib: millis(settings.transfer_cost) * 1_000,
        retries: retries(settings),
        fleet_budget: settings
            .retry
            .fleet_slack
            .map(|slack| FleetBudget { slack }),
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
        stop_timeout_ms: match settings.platform.grace {
            Some(grace) => millis(grace) * STOP_PERCENT_OF_GRACE / 100,
            None => millis(limits.stop_timeout),
        },
        serves_while_lingering: settings.platform.grace.is_some(),
        stop_linger_ms: match settings.platform.grace {
            Some(grace) => millis(grace) * LINGER_PERCENT_OF_GRACE / 100,
            None => Limits::default().stop_linger_ms,
        },
        ..Default::default()
    }
}

fn retries(settings: &Settings) -> RetryBudgetSettings {
    let is_fleet_bounded = settings.retry.fleet_slack.is_some();
    let default = RetryBudgetSettings::default();
    RetryBudgetSettings {
        credit_percent: settings.retry.earned,
        max_saved_percent: match is_fleet_bounded {
            // The share of the fleet's slack is known when the members are.
            true => 0,
            false => default.max_saved_percent,
        },
        credits_on_request: is_fleet_bounded,
        has_min_rate: !is_fleet_bounded,
        hedging_enabled: !is_fleet_bounded,
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
