//! Tests of the quotas of workspaces.

mod bounds;
mod holder;
mod owner;
mod sim;
