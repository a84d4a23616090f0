//! Which targets may get a request, and why the others may not.
//!
//! Some reasons hold for all requests: those targets take no place in the subset of an entry. The others
//! depend on the request.

use std::fmt;

use crate::ids::{NodeName, Region};

/// Why a target may not get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligibility {
    /// The target is leaving.
    Leaving,
    /// The data centre of the target is evacuated.
    Evacuated,
    /// The share of the target in the configuration is zero.
    ZeroWeight,
    /// The route or the workspace of the request does not allow the region of the target.
    RegionNotAllowed,
    /// The request was already sent to the target.
    Tried,
}

impl fmt::Display for Ineligibility {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ineligibility::Leaving => "leaving",
            Ineligibility::Evacuated => "its data centre is evacuated",
            Ineligibility::ZeroWeight => "share is zero",
            Ineligibility::RegionNotAllowed => "its region is not allowed",
            Ineligibility::Tried => "already tried",
        })
    }
}

/// Regions that a request may be sent to. The default allows all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions<'a> {
    /// Regions that the route allows; empty for all.
    pub route: &'a [Region],
    /// Regions that the workspace allows; empty for all.
    pub workspace: &'a [Region],
}

impl AllowedRegions<'_> {
    /// Returns whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.route.is_empty() && self.workspace.is_empty()
    }

    /// Returns whether both the route and the workspace allow a region.
    pub fn allows(&self, region: &str) -> bool {
        let contains = |regions: &[Region]| {
            regions.is_empty() || regions.iter().any(|allowed| allowed.as_str() == region)
        };
        contains(self.route) && contains(self.workspace)
    }
}

/// What a request demands of its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestScope<'a> {
    /// Regions that the request may be sent to.
    pub regions: AllowedRegions<'a>,
    /// Nodes that the request was already sent to.
    pub tried: &'a [NodeName],
}

/// The properties of a target that decide whether it may get a request.
#[derive(Clone, Copy, Debug)]
pub struct TargetFacts<'a> {
    /// Node on the target's host.
    pub node: &'a str,
    /// Region of the target.
    pub region: &'a str,
    /// Share of requests from the configuration.
    pub weight: u32,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Whether the data centre of the target is evacuated.
    pub is_evacuated: bool,
}

impl TargetFacts<'_> {
    /// Returns whether the target may get requests at all.
    ///
    /// # Errors
    ///
    /// Returns the first reason why it may not.
    pub fn check(&self) -> Result<(), Ineligibility> {
        if self.is_leaving {
            return Err(Ineligibility::Leaving);
        }
        if self.is_evacuated {
            return Err(Ineligibility::Evacuated);
        }
        match self.weight {
            0 => Err(Ineligibility::ZeroWeight),
            _ => Ok(()),
        }
    }

    /// Returns whether the target may get a certain request.
    ///
    /// # Errors
    ///
    /// Returns the first reason why it may not.
    pub fn check_for(&self, scope: &RequestScope<'_>) -> Result<(), Ineligibility> {
        self.check()?;
        if !scope.regions.allows(self.region) {
            return Err(Ineligibility::RegionNotAllowed);
        }
        match scope.tried.iter().any(|tried| tried.as_str() == self.node) {
            true => Err(Ineligibility::Tried),
            false => Ok(()),
        }
    }
}

/// Why a service has no eligible target for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// No target has a share above zero.
    NoTarget,
    /// No such target is in an allowed region.
    NoRegion,
    /// Such targets are in allowed regions, and at least one would be eligible without an evacuation.
    Evacuated,
    /// All such targets are leaving.
    Leaving,
}

/// Returns why none of the targets of a service may get a request that was not sent to any yet.
pub fn explain_absence<'a>(
    targets: impl Iterator<Item = TargetFacts<'a>>,
    regions: AllowedRegions<'_>,
) -> Absence {
    let mut absence = Absence::NoTarget;
    for target in targets.filter(|target| target.weight > 0) {
        if !regions.allows(target.region) {
            if absence == Absence::NoTarget {
                absence = Absence::NoRegion;
            }
        } else if target.check() == Err(Ineligibility::Evacuated) {
            return Absence::Evacuated;
        } else {
            absence = Absence::Leaving;
        }
    }
    absence
}
