//! Intents as operators state them.

use std::collections::BTreeMap;

use serde::Serialize;
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

/// Targets, hosts and data centres.
#[derive(Debug, Serialize)]
pub(crate) struct Places {
    targets: Vec<String>,
    hosts: Vec<String>,
    data_centres: Vec<String>,
}

/// Intent as `POST /v1/plan` takes it.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Intent {
    Share {
        service: String,
        data_centres: BTreeMap<String, u32>,
        targets: BTreeMap<String, u32>,
    },
    Leave(Places),
    Return(Places),
    Measure {
        permille: u16,
    },
    Repeatable {
        service: String,
        methods: Vec<String>,
    },
    Restore {
        version: u64,
    },
}

impl Intent {
    /// Builds the intent that the flags state.
    ///
    /// # Errors
    ///
    /// Fails if the flags name nothing or a value is not allowed.
    pub(crate) fn from_flags(flags: IntentFlags) -> Result<Self, IntentError> {
        match flags {
            IntentFlags::Share(flags) => share(flags),
            IntentFlags::Leave(Leave {
                target,
                host,
                data_centre,
            }) => places("leave", target, host, data_centre).map(Intent::Leave),
            IntentFlags::Return(Return {
                target,
                host,
                data_centre,
            }) => places("return", target, host, data_centre).map(Intent::Return),
            IntentFlags::Measure(flags) => measure(flags),
            IntentFlags::Repeatable(flags) => Ok(repeatable(flags)),
            IntentFlags::Restore(Restore { version }) => Ok(Intent::Restore { version }),
        }
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
    Ok(Intent::Share {
        service: flags.service.to_ascii_lowercase(),
        data_centres: weights(&flags.data_centre)?,
        targets: weights(&flags.target)?,
    })
}

fn weights(texts: &[String]) -> Result<BTreeMap<String, u32>, IntentError> {
    let mut weights = BTreeMap::new();
    for text in texts {
        let weight = text
            .split_once('=')
            .and_then(|(name, weight)| Some((name, weight.parse().ok()?)))
            .filter(|(name, _)| !name.is_empty() && !weights.contains_key(*name));
        let (name, weight) = weight.context(NotAllowedSnafu {
            intent: "share",
            text,
            allowed: "name=weight with a whole number, each name once",
        })?;
        weights.insert(name.to_owned(), weight);
    }
    Ok(weights)
}

fn places(
    intent: &'static str,
    targets: Vec<String>,
    hosts: Vec<String>,
    data_centres: Vec<String>,
) -> Result<Places, IntentError> {
    let is_empty = targets.is_empty() && hosts.is_empty() && data_centres.is_empty();
    let flags = "--target, --host, --data-centre";
    ensure!(!is_empty, NothingSnafu { intent, flags });
    Ok(Places {
        targets,
        hosts,
        data_centres,
    })
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
    Ok(Intent::Measure { permille })
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
