//! Intents as operators state them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
};

use plantainpost_core::config::{Intent, Leaving, ShareKey};
use snafu::{OptionExt, Snafu, ensure};

use crate::flags::{IntentFlags, Leave, Measure, Repeatable, Restore, Return, Share};

/// Highest measuring share, the whole core.
const MAX_PERMILLE: u16 = 1_000;

/// Reason why the flags state no intent.
#[derive(Debug, Snafu)]
pub(crate) enum IntentError {
    #[snafu(display("plan {intent}: `{text}` is not allowed; allowed: {allowed}"))]
    NotAllowed {
        intent: &'static str,
        text: String,
        allowed: &'static str,
    },

    #[snafu(display("plan {intent}: nothing is named; give at least one of {flags}"))]
    Nothing {
        intent: &'static str,
        flags: &'static str,
    },
}

/// Builds the intent that the flags state.
///
/// # Errors
///
/// Fails if the flags name nothing or a value is not allowed.
pub(crate) fn from_flags(flags: IntentFlags) -> Result<Intent, IntentError> {
    match flags {
        IntentFlags::Share(flags) => share(flags),
        IntentFlags::Leave(Leave {
            target,
            host,
            data_centre,
        }) => {
            let leaving = places("leave", target, &host, data_centre)?;
            Ok(Intent::Leave { leaving })
        }
        IntentFlags::Return(Return {
            target,
            host,
            data_centre,
        }) => {
            let leaving = places("return", target, &host, data_centre)?;
            Ok(Intent::Return { leaving })
        }
        IntentFlags::Measure(flags) => measure(flags),
        IntentFlags::Repeatable(flags) => Ok(repeatable(flags)),
        IntentFlags::Restore(Restore { version }) => Ok(Intent::Restore { version }),
        IntentFlags::Override(_) => Ok(Intent::Override { content: None }),
    }
}

fn share(flags: Share) -> Result<Intent, IntentError> {
    let has_shares = !flags.data_centre.is_empty() || !flags.target.is_empty();
    ensure!(
        has_shares,
        NothingSnafu {
            intent: "share",
            flags: "--data-centre, --target"
        }
    );
    let mut shares = weights(&flags.data_centre, ShareKey::DataCentre)?;
    shares.extend(weights(&flags.target, ShareKey::Node)?);
    Ok(Intent::Share {
        service: flags.service.to_ascii_lowercase(),
        shares,
    })
}

fn weights(
    texts: &[String],
    key: fn(String) -> ShareKey,
) -> Result<BTreeMap<ShareKey, u32>, IntentError> {
    let mut weights = BTreeMap::new();
    for text in texts {
        let weight = text
            .split_once('=')
            .and_then(|(name, weight)| Some((name, weight.parse().ok()?)))
            .filter(|(name, _)| !name.is_empty())
            .map(|(name, weight)| (key(name.to_owned()), weight))
            .filter(|(key, _)| !weights.contains_key(key));
        let (key, weight) = weight.context(NotAllowedSnafu {
            intent: "share",
            text,
            allowed: "name=weight with a whole number, each name once",
        })?;
        weights.insert(key, weight);
    }
    Ok(weights)
}

fn places(
    intent: &'static str,
    targets: Vec<String>,
    hosts: &[String],
    data_centres: Vec<String>,
) -> Result<BTreeSet<Leaving>, IntentError> {
    let is_empty = targets.is_empty() && hosts.is_empty() && data_centres.is_empty();
    let flags = "--target, --host, --data-centre";
    ensure!(!is_empty, NothingSnafu { intent, flags });
    let mut places: BTreeSet<Leaving> = targets.into_iter().map(Leaving::Target).collect();
    places.extend(data_centres.into_iter().map(Leaving::DataCentre));
    for text in hosts {
        let address: Option<IpAddr> = text.parse().ok();
        let address = address.context(NotAllowedSnafu {
            intent,
            text,
            allowed: "the IP number of a host",
        })?;
        places.insert(Leaving::Host(address));
    }
    Ok(places)
}

fn measure(flags: Measure) -> Result<Intent, IntentError> {
    let permille = flags.permille;
    ensure!(
        permille <= MAX_PERMILLE,
        NotAllowedSnafu {
            intent: "measure",
            text: permille.to_string(),
            allowed: "0 to 1000 permille"
        }
    );
    Ok(Intent::Measure {
        permille: permille.into(),
    })
}

fn repeatable(flags: Repeatable) -> Intent {
    let methods = flags
        .methods
        .iter()
        .map(|method| method.to_ascii_uppercase());
    Intent::Repeatable {
        service: flags.service.to_ascii_lowercase(),
        methods: methods.collect(),
    }
}
