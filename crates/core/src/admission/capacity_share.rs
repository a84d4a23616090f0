//! Shares of a guard's capacity that requests are charged to, as nodes send them to each other.

/// Share of the calls that targets make for running requests. They go before others of the same value,
/// because the running requests are lost without them.
pub const TARGET_CALLS: u32 = 0;

/// Share of all other requests while the configuration has no workspaces.
pub const NEW_REQUESTS: u32 = 1;

/// Returns the share of the workspace whose name has a hash.
pub(crate) const fn share_of_workspace(hash: u32) -> u32 {
    match hash {
        TARGET_CALLS | NEW_REQUESTS => NEW_REQUESTS + 1,
        _ => hash,
    }
}

/// Returns whether a share is that of a workspace, which is due a minimum of the capacity. The others are
/// not: while load is shed, new requests are served less often than calls, and with a minimum they would
/// go before calls of any priority.
pub(super) const fn is_of_workspace(share: u32) -> bool {
    share != TARGET_CALLS && share != NEW_REQUESTS
}
