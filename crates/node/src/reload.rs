//! Reloads the settings while the node runs.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
};

use actix_rt::signal::unix::{SignalKind, signal};
use plantainpost_core::admission::PaceSettings;
use serde_json::{Value, json};
use slog::{info, warn};

use crate::{
    clock,
    external::SettingsSource,
    fleet,
    node::Node,
    settings::{FleetRetryBudget, NodeSettings, Routing, StopLimits},
};

/// Milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// Interval between checks whether the settings have changed without a signal, in milliseconds.
const CHANGE_CHECK_INTERVAL_MS: u64 = 500;

/// Settings that a reload changes, except for the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReloadableSettings {
    pub(crate) stop: StopLimits,
    /// See [`NodeSettings::announce_interval_ms`].
    pub(crate) announce_interval_ms: u64,
    /// See [`NodeSettings::fleet_retry_budget`].
    pub(crate) fleet_retry_budget: Option<FleetRetryBudget>,
}

impl From<&NodeSettings> for ReloadableSettings {
    fn from(settings: &NodeSettings) -> Self {
        ReloadableSettings {
            stop: settings.limits.stop,
            announce_interval_ms: settings.announce_interval_ms,
            fleet_retry_budget: settings.fleet_retry_budget,
        }
    }
}

/// The settings in force that a reload changes, when they were loaded, and how the last reload ended.
pub(crate) struct SettingsState {
    current: Cell<ReloadableSettings>,
    loaded_unix_ms: Cell<u64>,
    /// Why the last reload failed; `None` if it succeeded or there was none.
    last_error: RefCell<Option<String>>,
}

impl SettingsState {
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        SettingsState {
            current: Cell::new(settings.into()),
            loaded_unix_ms: Cell::new(clock::unix_ms()),
            last_error: RefCell::default(),
        }
    }

    /// Returns the settings in force.
    pub(crate) fn current(&self) -> ReloadableSettings {
        self.current.get()
    }
}

/// Returns the state of the settings for operators.
pub(crate) fn settings_status(node: &Node) -> Value {
    json!({
        "service": node.service.borrow().as_ref().map(|service| service.as_str().to_owned()),
        "loaded_unix_ms": node.settings_state.loaded_unix_ms.get(),
        "reloads": node.metrics.total("settings.reload"),
        "reload_errors": node.metrics.total("settings.reload_error"),
        "last_error": &*node.settings_state.last_error.borrow(),
    })
}

/// Reloads the settings on each SIGHUP, until the process exits. On the platform, which may change them
/// without a signal, also when they have changed.
pub(crate) fn spawn_reloads(node: &Rc<Node>, source: Box<dyn SettingsSource>) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let node = Rc::clone(node);
    record_load(&node);
    let is_watched = node.settings.routing == Routing::ByRouteTable;
    actix_rt::spawn(async move {
        let mut last_read = source.read().ok();
        loop {
            let check_at = node.now().saturating_add_millis(CHANGE_CHECK_INTERVAL_MS);
            let is_signalled = tokio::select! {
                signal = hangup.recv() => match signal {
                    Some(()) => true,
                    None => return,
                },
                () = node.clock.sleep_until(check_at), if is_watched => false,
            };
            let read = source.read().ok();
            // A file that is being replaced may be missing for a moment.
            if is_signalled || (read.is_some() && read != last_read) {
                last_read = read;
                reload(&node, &*source);
            }
        }
    });
    Ok(())
}

fn reload(node: &Node, source: &dyn SettingsSource) {
    let checked = source
        .load()
        .and_then(|new| check_settings(&node.settings, new));
    match checked {
        Ok(settings) => apply_settings(node, settings),
        Err(e) => {
            node.metrics.count("settings.reload_error");
            warn!(node.logger, "settings not reloaded; the old ones stay"; "error" => &e);
            node.settings_state.last_error.replace(Some(e));
        }
    }
}

/// Returns `new` unless it belongs to another node or lacks what the running node has. Both are
/// signs of a file that is being written.
fn check_settings(old: &NodeSettings, new: NodeSettings) -> Result<NodeSettings, String> {
    let addresses = |cfg: &NodeSettings| {
        let listeners = [
            cfg.listen_callers,
            cfg.listen_admin,
            cfg.listen_peer_tcp,
            cfg.listen_peer_udp,
        ];
        (listeners, cfg.listen_control.clone(), cfg.listen_metrics)
    };
    if new.name != old.name {
        return Err(format!("these are the settings of {}", new.name));
    }
    if addresses(&new) != addresses(old) {
        return Err("[listen] differs, which needs a restart".to_owned());
    }
    let has_grace = |cfg: &NodeSettings| cfg.limits.stop.serves_during_drain_delay;
    let has_fleet_budget = |cfg: &NodeSettings| cfg.fleet_retry_budget.is_some();
    let has_transfer_cost = |cfg: &NodeSettings| cfg.transfer_cost_us_per_kib > 0;
    let required: [(&str, bool, bool); 4] = [
        (
            "`service` in [node]",
            old.service.is_some(),
            new.service.is_some(),
        ),
        ("`grace` in [platform]", has_grace(old), has_grace(&new)),
        (
            "`fleet_slack` in [retry]",
            has_fleet_budget(old),
            has_fleet_budget(&new),
        ),
        (
            "`transfer_cost` in [balance]",
            has_transfer_cost(old),
            has_transfer_cost(&new),
        ),
    ];
    match required
        .iter()
        .find(|(_, was_set, is_set)| *was_set && !is_set)
    {
        Some((name, _, _)) => Err(format!("{name} is missing")),
        None => Ok(new),
    }
}

/// Applies the settings that can change without a restart. A stop that has started keeps its deadlines.
fn apply_settings(node: &Node, settings: NodeSettings) {
    node.settings_state.current.set((&settings).into());
    fleet::set_retry_budget_share(node);
    let pace = PaceSettings::with_max_rate(settings.max_health_checks_per_second);
    node.guard.borrow_mut().set_pace_settings(pace);
    if settings.log_address != node.settings.log_address {
        warn!(node.logger, "`address` in [log] differs, which needs a restart"; "address" => &settings.log_address);
    }
    let old_service = node.service.replace(settings.service.clone());
    let old_service = old_service
        .as_ref()
        .map(|service| service.as_str().to_owned());
    let new_service = settings
        .service
        .as_ref()
        .map(|service| service.as_str().to_owned());
    node.metrics.count("settings.reload");
    record_load(node);
    info!(node.logger, "settings reloaded"; "service_changed" => old_service != new_service, "service" => &new_service);
}

fn record_load(node: &Node) {
    let now_ms = clock::unix_ms();
    node.settings_state.loaded_unix_ms.set(now_ms);
    node.settings_state.last_error.replace(None);
    node.metrics
        .gauge("settings.loaded_unix_s", now_ms / MILLIS_PER_SECOND);
}
