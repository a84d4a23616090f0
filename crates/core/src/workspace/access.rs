//! Which workspace a request belongs to, and whether that is still so when the request starts.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{KeyHash, Workspace};
use crate::{
    admission::{NEW_REQUESTS, RefuseReason, TARGET_CALLS},
    routing::{Route, RouteTable},
};

/// Why a request on a route that is not public belongs to no workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The request has no key.
    Missing,
    /// No workspace holds the key.
    Unknown,
}

impl KeyError {
    /// Returns the value of the reason header.
    pub const fn as_str(self) -> &'static str {
        match self {
            KeyError::Missing => "key-missing",
            KeyError::Unknown => "key-unknown",
        }
    }
}

/// The key that a caller has sent.
#[derive(Clone, Copy)]
pub enum SentKey<'a> {
    /// The request has no key, or an empty one.
    None,
    /// The request has one key, which may be repeated.
    One(&'a [u8]),
    /// The request has several keys that differ.
    Ambiguous,
}

/// What an entry states about the key of a request, so that a guard can check it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Name of the workspace that the request belongs to.
    pub workspace: Rc<str>,
    /// Hash of the key that the caller sent.
    pub key: KeyHash,
    /// Version of the configuration in which the workspace holds the key.
    pub version: u64,
}

/// A workspace, and the claim that a request belongs to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Workspace that the request belongs to.
    pub workspace: Rc<Workspace>,
    /// Claim for the guards.
    pub claim: KeyClaim,
}

/// Returns whether requests on a route need a key of a workspace.
pub fn needs_key(table: &RouteTable, route: &Route) -> bool {
    table.workspaces().is_some() && !route.public
}

/// Returns the share of a guard's capacity that a request is charged to, for
/// [`Urgency::capacity_share`](crate::admission::Urgency).
///
/// Calls that targets make for running requests come from the target's host and have no key. With
/// workspaces, every request without a key has the share of these calls.
pub fn capacity_share(
    table: &RouteTable,
    workspace: Option<&Workspace>,
    is_from_own_host: bool,
) -> u32 {
    match workspace {
        Some(workspace) => workspace.share_id(),
        None if is_from_own_host || table.workspaces().is_some() => TARGET_CALLS,
        None => NEW_REQUESTS,
    }
}

/// Returns the workspace of a request, or `None` if the request needs no key. The key is hashed only if
/// it is needed.
///
/// # Errors
///
/// Returns why the request must be refused.
pub fn identify(
    table: &RouteTable,
    route: &Route,
    key: SentKey<'_>,
) -> Result<Option<Identity>, KeyError> {
    let Some(workspaces) = table.workspaces().filter(|_| needs_key(table, route)) else {
        return Ok(None);
    };
    let key = match key {
        SentKey::None => return Err(KeyError::Missing),
        SentKey::Ambiguous => return Err(KeyError::Unknown),
        SentKey::One(key) => KeyHash::of(key),
    };
    let workspace = workspaces.find_by_key(&key).ok_or(KeyError::Unknown)?;
    Ok(Some(Identity {
        workspace: Rc::clone(workspace),
        claim: KeyClaim {
            workspace: Rc::clone(&workspace.name),
            key,
            version: table.version(),
        },
    }))
}

impl KeyClaim {
    /// Checks the claim against a node's own configuration. One that is not newer than the claim does not
    /// contradict it.
    ///
    /// # Errors
    ///
    /// Returns why the request must not start.
    pub fn check(&self, table: Option<&RouteTable>) -> Result<(), RefuseReason> {
        let table = table.ok_or(RefuseReason::NoConfiguration)?;
        if table.version() <= self.version {
            return Ok(());
        }
        let Some(workspaces) = table.workspaces() else {
            return Ok(());
        };
        let holder = workspaces.find_by_key(&self.key);
        match holder.is_some_and(|workspace| workspace.name == self.workspace) {
            true => Ok(()),
            false => Err(RefuseReason::KeyWithdrawn),
        }
    }

    /// Returns the claim under the version of a table that it was checked against.
    pub fn with_version_of(&self, table: &RouteTable) -> Self {
        KeyClaim {
            version: self.version.max(table.version()),
            ..self.clone()
        }
    }
}
