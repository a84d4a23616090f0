//! Reloads the settings while the node runs.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
};

use actix_rt::signal::unix::{SignalKind, signal};
use serde_json::{Value, json};
use slog::{info, warn};

use crate::{clock, node::Node, settings::NodeSettings};

/// Milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// When the settings in force were loaded, and how the last reload ended.
pub(crate) struct SettingsState {
    loaded_unix_ms: Cell<u64>,
    /// Why the last reload failed; `None` if it succeeded or there was none.
    last_error: RefCell<Option<String>>,
}

impl Default for SettingsState {
    fn default() -> Self {
        SettingsState {
            loaded_unix_ms: Cell::new(clock::unix_ms()),
            last_error: RefCell::default(),
        }
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

/// Reloads the settings on each SIGHUP, until the process exits.
pub(crate) fn reload_on_sighup(
    node: &Rc<Node>,
    reload: Box<dyn Fn() -> Result<NodeSettings, String>>,
) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let node = Rc::clone(node);
    record_load(&node);
    actix_rt::spawn(async move {
        while hangup.recv().await.is_some() {
            let checked = reload().and_then(|new| check_settings(&node.settings, new));
            match checked {
                Ok(settings) => apply_settings(&node, settings),
                Err(e) => {
                    node.metrics.count("settings.reload_error");
                    warn!(node.logger, "settings not reloaded; the old ones stay"; "error" => &e);
                    node.settings_state.last_error.replace(Some(e));
                }
            }
        }
    });
    Ok(())
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
    if new.service.is_none() && old.service.is_some() {
        return Err("`service` in [node] is missing".to_owned());
    }
    Ok(new)
}

/// Applies the settings that can change without a restart: the service of the target.
fn apply_settings(node: &Node, settings: NodeSettings) {
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
