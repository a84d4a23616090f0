//! Workspaces, the keys that identify their requests, and the limits on what they may ask for.
//!
//! A [`WorkspaceTable`] is part of one version of the configuration. It holds hashes of the keys, so that
//! nodes neither store nor exchange the keys themselves.

mod access;
mod usage;

pub use self::{
    access::{Identity, KeyClaim, KeyError, SentKey, capacity_share, identify, needs_key},
    usage::{RequestCounts, WorkspaceUsage},
};

use std::{fmt, rc::Rc};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{Snafu, ensure};

use crate::{admission::share_of_workspace, hash::fnv1a, ids::Region};

/// Longest name of a workspace, in bytes. Names are part of datagrams of 1,200 bytes.
const MAX_NAME_BYTES: usize = 256;

/// SHA-256 hash of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Returns the hash of a key as it is sent by callers.
    pub fn of(key: &[u8]) -> Self {
        KeyHash(Sha256::digest(key).into())
    }
}

/// Shows nothing of the hash, because short keys can be found from their hashes.
impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// Limit on the requests of a workspace, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLimit {
    /// Requests in 1,000 seconds; above zero.
    pub per_1000_s: u64,
    /// Requests beyond the rate that may be started after a time of lower use.
    pub burst: u64,
}

/// A workspace of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name given by the operator. Targets and logs see it.
    pub name: Rc<str>,
    /// Hashes of the keys that identify requests of the workspace.
    pub keys: Vec<KeyHash>,
    /// Priority of the workspace's requests, 0 for the most urgent; `None` for that of their route.
    pub priority: Option<u32>,
    /// Limit on the requests of the workspace; `None` without a limit.
    pub quota: Option<QuotaLimit>,
    /// Regions whose targets may get requests of the workspace; empty for all.
    pub allowed_regions: Vec<Region>,
}

/// Why a table of workspaces is invalid.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[expect(missing_docs, reason = "The messages name the fields.")]
pub enum WorkspaceError {
    /// Requests with the key would belong to two workspaces.
    #[snafu(display("workspaces {first} and {second} have a key in common"))]
    SharedKey { first: String, second: String },
    /// The name can't be sent in a header.
    #[snafu(display("the name {name:?} of a workspace is not valid in a header"))]
    InvalidName { name: String },
    /// Two workspaces have the same name.
    #[snafu(display("there are two workspaces with the name {name:?}"))]
    SharedName { name: String },
}

/// All workspaces of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceTable {
    /// Sorted by name, without duplicates.
    workspaces: Vec<Rc<Workspace>>,
    /// Each key with the index of its workspace, sorted by key, without duplicates.
    by_key: Vec<(KeyHash, u32)>,
}

impl WorkspaceTable {
    /// Creates a table from workspaces in any order.
    ///
    /// # Errors
    ///
    /// Fails if two workspaces have a name or a key in common, or a name is not valid in a header.
    pub fn new(mut workspaces: Vec<Workspace>) -> Result<Self, WorkspaceError> {
        for Workspace { name, .. } in &workspaces {
            ensure!(is_valid_name(name), InvalidNameSnafu { name: &**name });
        }
        workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        for pair in workspaces.windows(2) {
            let name = &pair[0].name;
            ensure!(*name != pair[1].name, SharedNameSnafu { name: &**name });
        }
        let keys_of = |(index, workspace): (usize, &Workspace)| {
            let index = index as u32;
            workspace
                .keys
                .iter()
                .map(move |key| (*key, index))
                .collect::<Vec<_>>()
        };
        let mut by_key: Vec<(KeyHash, u32)> =
            workspaces.iter().enumerate().flat_map(keys_of).collect();
        by_key.sort_unstable();
        by_key.dedup();
        for pair in by_key.windows(2) {
            let name = |index: u32| &*workspaces[index as usize].name;
            ensure!(
                pair[0].0 != pair[1].0,
                SharedKeySnafu {
                    first: name(pair[0].1),
                    second: name(pair[1].1)
                }
            );
        }
        Ok(WorkspaceTable {
            workspaces: workspaces.into_iter().map(Rc::new).collect(),
            by_key,
        })
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns whether there are no workspaces.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Returns the number of keys of all workspaces.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the workspaces in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Workspace>> {
        self.workspaces.iter()
    }

    /// Returns the workspace with a name, or `None` if there is none.
    pub fn get(&self, name: &str) -> Option<&Rc<Workspace>> {
        let index = self.workspaces.binary_search_by(|t| (*t.name).cmp(name));
        index.ok().map(|index| &self.workspaces[index])
    }

    /// Returns the workspace that holds a key, or `None` if none does.
    pub fn find_by_key(&self, key: &KeyHash) -> Option<&Rc<Workspace>> {
        let index = self.by_key.binary_search_by(|(other, _)| other.cmp(key));
        let (_, workspace) = self.by_key[index.ok()?];
        self.workspaces.get(workspace as usize)
    }
}

impl Workspace {
    /// Returns the share of the capacity that requests of the workspace are charged to, a hash of the name.
    /// A collision of two workspaces makes them share their part of the capacity.
    pub fn share_id(&self) -> u32 {
        share_of_workspace(fnv1a(self.name.as_bytes()))
    }
}

/// Returns whether a name can be sent in a header: a line break in it would begin another header.
fn is_valid_name(name: &str) -> bool {
    let is_short = name.len() <= MAX_NAME_BYTES;
    is_short && !name.is_empty() && name.trim() == name && !name.chars().any(char::is_control)
}
