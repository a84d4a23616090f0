//! Reloads the settings while the node runs.

use std::{io, rc::Rc};

use actix_rt::signal::unix::{SignalKind, signal};
use slog::{info, warn};

use crate::{node::Node, settings::NodeSettings};

/// Reloads the settings on each SIGHUP, until the process exits.
pub(crate) fn reload_on_sighup(
    node: &Rc<Node>,
    reload: Box<dyn Fn() -> Result<NodeSettings, String>>,
) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let node = Rc::clone(node);
    actix_rt::spawn(async move {
        while hangup.recv().await.is_some() {
            match reload() {
                Ok(settings) => apply_settings(&node, settings),
                Err(e) => {
                    node.metrics.count("settings.reload_error");
                    warn!(node.logger, "settings not reloaded; the old ones stay"; "error" => e);
                }
            }
        }
    });
    Ok(())
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
    info!(node.logger, "settings reloaded"; "service_changed" => old_service != new_service, "service" => &new_service);
}
