//! Conversion of command-line arguments into configuration intents.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
};

use plantainpost_core::config::{Intent, Leaving, ShareKey};
use snafu::{OptionExt, Snafu, ensure};

use crate::flags::{IntentFlags, Leave, Measure, Repeatable, Restore, Return, Share};

/// Maximum share for load measurement: one whole CPU core.
const MAX_MEASURE_PERMILLE: u16 = 1_000;

/// Error in the arguments of an intent.
#[derive(Debug, Snafu)]
pub(crate) enum IntentError {
    #[snafu(display("plan {intent}: `{text}` is not allowed; allowed: {allowed}"))]
    InvalidArgument {
        intent: &'static str,
        text: String,
        allowed: &'static str,
    },

    #[snafu(display("plan {intent}: missing flag; give at least one of {flags}"))]
    MissingFlag {
        intent: &'static str,
        flags: &'static str,
    },
}

/// Converts the arguments of `plan` into an intent.
///
/// # Errors
///
/// Fails if no flag is given or a value is invalid.
pub(crate) fn from_flags(flags: IntentFlags) -> Result<Intent, IntentError> {
    match flags {
        IntentFlags::Share(flags) => share_intent(flags),
        IntentFlags::Leave(Leave {
            target,
            host,
            data_centre,
        }) => {
            let leaving = parse_locations("leave", target, &host, data_centre)?;
            Ok(Intent::Leave { leaving })
        }
        IntentFlags::Return(Return {
            target,
            host,
            data_centre,
        }) => {
            let leaving = parse_locations("return", target, &host, data_centre)?;
            Ok(Intent::Return { leaving })
        }
        IntentFlags::Measure(flags) => measure_intent(flags),
        IntentFlags::Repeatable(flags) => Ok(repeatable_intent(flags)),
        IntentFlags::Restore(Restore { version }) => Ok(Intent::Restore { version }),
        IntentFlags::Override(_) => Ok(Intent::Override { content: None }),
    }
}

fn share_intent(flags: Share) -> Result<Intent, IntentError> {
    let has_shares = !flags.data_centre.is_empty() || !flags.target.is_empty();
    ensure!(
        has_shares,
        MissingFlagSnafu {
            intent: "share",
            flags: "--data-centre, --target"
        }
    );
    let mut shares = parse_weights(&flags.data_centre, ShareKey::DataCentre)?;
    shares.extend(parse_weights(&flags.target, ShareKey::Node)?);
    Ok(Intent::Share {
        service: flags.service.to_ascii_lowercase(),
        shares,
    })
}

fn parse_weights(
    texts: &[String],
    to_key: fn(String) -> ShareKey,
) -> Result<BTreeMap<ShareKey, u32>, IntentError> {
    let mut weights = BTreeMap::new();
    for text in texts {
        let weight = text
            .split_once('=')
            .and_then(|(name, weight)| Some((name, weight.parse().ok()?)))
            .filter(|(name, _)| !name.is_empty())
            .map(|(name, weight)| (to_key(name.to_owned()), weight))
            .filter(|(key, _)| !weights.contains_key(key));
        let (key, weight) = weight.context(InvalidArgumentSnafu {
            intent: "share",
            text,
            allowed: "name=weight with a whole number, each name once",
        })?;
        weights.insert(key, weight);
    }
    Ok(weights)
}

fn parse_locations(
    intent: &'static str,
    targets: Vec<String>,
    hosts: &[String],
    data_centres: Vec<String>,
) -> Result<BTreeSet<Leaving>, IntentError> {
    let is_empty = targets.is_empty() && hosts.is_empty() && data_centres.is_empty();
    let flags = "--target, --host, --data-centre";
    ensure!(!is_empty, MissingFlagSnafu { intent, flags });
    let mut locations: BTreeSet<Leaving> = targets.into_iter().map(Leaving::Target).collect();
    locations.extend(data_centres.into_iter().map(Leaving::DataCentre));
    for text in hosts {
        let address: Option<IpAddr> = text.parse().ok();
        let address = address.context(InvalidArgumentSnafu {
            intent,
            text,
            allowed: "the IP address of a host",
        })?;
        locations.insert(Leaving::Host(address));
    }
    Ok(locations)
}

fn measure_intent(flags: Measure) -> Result<Intent, IntentError> {
    let permille = flags.permille;
    ensure!(
        permille <= MAX_MEASURE_PERMILLE,
        InvalidArgumentSnafu {
            intent: "measure",
            text: permille.to_string(),
            allowed: "0 to 1000 permille"
        }
    );
    Ok(Intent::Measure {
        permille: permille.into(),
    })
}

fn repeatable_intent(flags: Repeatable) -> Intent {
    let methods = flags
        .methods
        .iter()
        .map(|method| method.to_ascii_uppercase());
    Intent::Repeatable {
        service: flags.service.to_ascii_lowercase(),
        methods: methods.collect(),
    }
}
