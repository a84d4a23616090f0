//! Settings that are read again while the node runs.

use std::{io, rc::Rc};

use actix_rt::signal::unix::{SignalKind, signal};
use slog::{info, warn};

use crate::{node::Node, settings::NodeSettings};

/// Reads the settings again at each SIGHUP, until the process exits.
pub(crate) fn on_signal(
    node: &Rc<Node>,
    reload: Box<dyn Fn() -> Result<NodeSettings, String>>,
) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let node = Rc::clone(node);
    actix_rt::spawn(async move {
        while hangup.recv().await.is_some() {
            match reload() {
                Ok(settings) => apply(&node, settings),
                Err(e) => {
                    node.metrics.count("settings.reload_error");
                    warn!(node.logger, "settings not reloaded; the old ones stay"; "error" => e);
                }
            }
        }
    });
    Ok(())
}

/// Takes over the settings that can change without a restart.
fn apply(node: &Node, settings: NodeSettings) {
    let old = node.service.replace(settings.service.clone());
    let old = old.as_ref().map(|service| service.as_str().to_owned());
    let new = settings
        .service
        .as_ref()
        .map(|service| service.as_str().to_owned());
    info!(node.logger, "settings reloaded"; "service_changed" => old != new, "service" => &new);
}
