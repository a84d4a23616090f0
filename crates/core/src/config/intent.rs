//! Changes that an operator can request.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::content::{Content, Leaving, ServiceRules, ShareKey};

/// A change that an operator requests. A plan turns it into a content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Replaces the shares of a service. An empty map removes them.
    Share {
        /// The service.
        service: String,
        /// Its shares by data centre or node.
        shares: BTreeMap<ShareKey, u32>,
    },
    /// Takes targets, hosts or data centres out of service.
    Leave {
        /// What leaves.
        leaving: BTreeSet<Leaving>,
    },
    /// Takes targets, hosts or data centres back into service.
    Return {
        /// What returns; each entry as it was given when it left.
        leaving: BTreeSet<Leaving>,
    },
    /// Sets the share of a core that measuring may use.
    Measure {
        /// The share in permille.
        permille: u32,
    },
    /// Replaces the repeatable methods of a service.
    Repeatable {
        /// The service.
        service: String,
        /// Its methods. An empty list removes them.
        methods: BTreeSet<String>,
    },
    /// Returns to the content of an earlier version.
    Restore {
        /// The version, one of the recent ones.
        version: u64,
    },
    /// Replaces the whole content and puts it in force regardless of records that the log
    /// has lost. This resolves a gap that no node can close.
    Override {
        /// The content; `None` stands for the content in force at the planning node.
        #[serde(default)]
        content: Option<Content>,
    },
}

impl Intent {
    /// Returns the content that results from applying the intent to `content`, or `None` if
    /// it restores a version that `earlier` does not know.
    pub(super) fn resolve(
        &self,
        content: &Content,
        earlier: impl FnOnce(u64) -> Option<Content>,
    ) -> Option<Content> {
        let mut content = content.clone();
        match self {
            Intent::Share { service, shares } => {
                edit_rules(&mut content, service, |rules| {
                    rules.shares.clone_from(shares)
                });
            }
            Intent::Repeatable { service, methods } => {
                edit_rules(&mut content, service, |rules| {
                    rules.repeatable.clone_from(methods);
                });
            }
            Intent::Leave { leaving } => {
                content.leaving.extend(leaving.iter().cloned());
            }
            Intent::Return { leaving } => {
                content.leaving.retain(|entry| !leaving.contains(entry));
            }
            Intent::Measure { permille } => content.measuring_permille = *permille,
            Intent::Restore { version } => content = earlier(*version)?,
            Intent::Override { content: stated } => {
                if let Some(stated) = stated {
                    content = stated.clone();
                }
            }
        }
        Some(content)
    }
}

/// Edits the rules of a service, and removes the entry if the rules are empty afterwards.
fn edit_rules(content: &mut Content, service: &str, edit: impl FnOnce(&mut ServiceRules)) {
    let rules = content.services.entry(service.to_owned()).or_default();
    edit(rules);
    if rules.is_empty() {
        content.services.remove(service);
    }
}
