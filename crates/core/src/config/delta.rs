//! Difference between two contents. A state stores its earlier versions as deltas.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::content::{Content, Leaving, ServiceRules};

/// Changes that turn one content into another.
///
/// Sixteen whole contents of the size that the system is designed for would not fit into
/// one frame between nodes, and most versions differ in one service only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Delta {
    /// Rules to set, or `None` to remove the service.
    services: BTreeMap<String, Option<ServiceRules>>,
    leaving: Option<BTreeSet<Leaving>>,
    measuring_permille: Option<u32>,
}

impl Delta {
    /// Returns the delta that turns `from` into `to`.
    pub(super) fn between(from: &Content, to: &Content) -> Self {
        let mut services = BTreeMap::new();
        for (name, rules) in &to.services {
            if from.services.get(name) != Some(rules) {
                services.insert(name.clone(), Some(rules.clone()));
            }
        }
        for name in from.services.keys() {
            if !to.services.contains_key(name) {
                services.insert(name.clone(), None);
            }
        }
        Delta {
            services,
            leaving: (from.leaving != to.leaving).then(|| to.leaving.clone()),
            measuring_permille: (from.measuring_permille != to.measuring_permille)
                .then_some(to.measuring_permille),
        }
    }

    /// Applies the delta to `content`.
    pub(super) fn apply_to(&self, content: &mut Content) {
        for (name, rules) in &self.services {
            match rules {
                Some(rules) => content.services.insert(name.clone(), rules.clone()),
                None => content.services.remove(name),
            };
        }
        if let Some(leaving) = &self.leaving {
            content.leaving.clone_from(leaving);
        }
        if let Some(permille) = self.measuring_permille {
            content.measuring_permille = permille;
        }
    }
}
