//! The commands: what each does with its flags.

use std::{fs, future::Future};

use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    admin::{AdminClient, AdminError},
    exit::Exit,
    flags::{Audit, Check, Command, Confirm, Explain, Plan, Run, Status},
    intent::{self, IntentError},
    keys, logging,
    node::{self, RunError},
    render,
    settings::{self, Settings, SettingsError},
    trace::{self, TraceError},
};

/// Reason why a command failed.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    #[snafu(transparent)]
    Settings { source: SettingsError },

    #[snafu(transparent)]
    Intent { source: IntentError },

    #[snafu(transparent)]
    Admin { source: AdminError },

    #[snafu(transparent)]
    Run { source: RunError },

    #[snafu(transparent)]
    Trace { source: TraceError },

    #[snafu(display("{file}: can't read plan: {source}; check the file name"))]
    ReadPlan {
        file: String,
        source: std::io::Error,
    },

    #[snafu(display("{file}: not a plan: {source}; save a new one with `plan --out`"))]
    ParsePlan {
        file: String,
        source: serde_json::Error,
    },

    #[snafu(display("{file}: can't save plan: {source}; give another file with --out"))]
    SavePlan {
        file: String,
        source: std::io::Error,
    },

    #[snafu(display("can't start the runtime: {source}; check the limits of the process"))]
    Runtime { source: std::io::Error },

    #[snafu(display("check: give a settings file or --example"))]
    CheckWhat,

    #[snafu(display("explain: give either --request or --target"))]
    ExplainWhat,

    #[snafu(display(
        "confirm: the outcome is unknown: {source}; see `audit`, or confirm the same plan again"
    ))]
    Unknown { source: AdminError },

    #[snafu(display("{address}: answer without outcome; see `audit`"))]
    NoOutcome { address: std::net::SocketAddr },
}

impl CommandError {
    /// Returns the exit code.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            CommandError::Intent { .. }
            | CommandError::CheckWhat
            | CommandError::ExplainWhat
            | CommandError::Trace {
                source: TraceError::NoFile,
            } => Exit::Usage,
            CommandError::Unknown { .. } | CommandError::NoOutcome { .. } => Exit::Unknown,
            _ => Exit::Error,
        }
    }
}

/// What a command prints on standard output, and its exit code.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) text: String,
    pub(crate) exit: Exit,
}

impl Report {
    fn done(text: String) -> Self {
        Report {
            text,
            exit: Exit::Done,
        }
    }
}

type Result<T> = std::result::Result<T, CommandError>;

/// Runs a command.
///
/// # Errors
///
/// Fails if the command could not do what it was asked to do.
pub(crate) fn execute(command: Command) -> Result<Report> {
    match command {
        Command::Run(flags) => run(&flags),
        Command::Check(flags) => check(&flags),
        Command::Plan(flags) => block_on(plan(flags)),
        Command::Confirm(flags) => block_on(confirm(flags)),
        Command::Status(flags) => block_on(status(flags)),
        Command::Audit(flags) => block_on(audit(flags)),
        Command::Explain(flags) => block_on(explain(flags)),
        Command::Trace(flags) => Ok(Report::done(trace::trace(&flags.id, &flags.files)?)),
    }
}

fn block_on(task: impl Future<Output = Result<Report>>) -> Result<Report> {
    let runtime = actix_rt::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(task)
}

fn run(flags: &Run) -> Result<Report> {
    let (settings, _) = Settings::load(&flags.settings)?;
    let (logger, _guard) = logging::build(&settings.output);
    slog::info!(logger, "starting"; "node" => &settings.node.name);
    block_on(async {
        let summary = node::run(&flags.settings, &settings, logger).await?;
        Ok(Report::done(format!("{summary}\n")))
    })
}

fn check(flags: &Check) -> Result<Report> {
    let file = match &flags.settings {
        _ if flags.example => return Ok(Report::done(keys::example())),
        Some(file) => file,
        None => return CheckWhatSnafu.fail(),
    };
    let (_, values) = Settings::load(file)?;
    let in_force = settings::in_force(&values);
    if flags.json {
        let mut sections = json!({});
        for (section, key, value) in in_force {
            sections[section][key] = Value::String(value);
        }
        return Ok(Report::done(show(&sections, true)));
    }
    let rows: Vec<_> = in_force
        .map(|(section, key, value)| vec![section.to_owned(), key.to_owned(), value])
        .collect();
    Ok(Report::done(render::table(
        &["section", "key", "value"],
        &rows,
    )))
}

async fn plan(flags: Plan) -> Result<Report> {
    let admin = AdminClient::new(flags.access())?;
    let intent = intent::from_flags(flags.intent)?;
    let body = json!({ "author": flags.author, "intent": intent });
    let plan = admin.post("/v1/plan", &body).await?;
    let file = &flags.out;
    fs::write(file, show(&plan, true)).context(SavePlanSnafu { file })?;
    if flags.json {
        return Ok(Report::done(show(&plan, true)));
    }
    let saved = format!(
        "\nSaved to {file}. Nothing has changed yet; `confirm {file}` confirms the plan.\n"
    );
    Ok(Report::done(show(&without_content(plan), false) + &saved))
}

/// Removes the content, which the lists of changes and of what stays describe.
fn without_content(mut plan: Value) -> Value {
    if let Some(plan) = plan.as_object_mut() {
        plan.remove("content");
    }
    plan
}

async fn confirm(flags: Confirm) -> Result<Report> {
    let admin = AdminClient::new(flags.access())?;
    let file = &flags.plan;
    let text = fs::read_to_string(file).context(ReadPlanSnafu { file })?;
    let plan: Value = serde_json::from_str(&text).context(ParsePlanSnafu { file })?;
    let body = json!({ "author": flags.author, "plan": plan });
    let answer = match admin.post("/v1/confirm", &body).await {
        // The outcome counts whatever the status is.
        Err(AdminError::Status { body, .. }) if outcome_of(&body).is_some() => body,
        Err(error) if error.has_unknown_outcome() => return Err(error).context(UnknownSnafu),
        answer => answer?,
    };
    let address = admin.address();
    let exit = outcome_of(&answer).context(NoOutcomeSnafu { address })?;
    Ok(Report {
        text: show(&answer, flags.json),
        exit,
    })
}

/// Returns the exit code for the outcome of a confirmation.
fn outcome_of(answer: &Value) -> Option<Exit> {
    match answer.get("outcome")?.as_str()? {
        "in-force" => Some(Exit::Done),
        "void" => Some(Exit::Void),
        "unknown" => Some(Exit::Unknown),
        "unavailable" => Some(Exit::Error),
        _ => None,
    }
}

async fn status(flags: Status) -> Result<Report> {
    let admin = AdminClient::new(flags.access())?;
    let answer = admin.get("/v1/status", &[]).await?;
    Ok(Report::done(show(&answer, flags.json)))
}

async fn audit(flags: Audit) -> Result<Report> {
    let admin = AdminClient::new(flags.access())?;
    let from = flags.from.to_string();
    let answer = admin.get("/v1/audit", &[("from", &from)]).await?;
    Ok(Report::done(show(&answer, flags.json)))
}

async fn explain(flags: Explain) -> Result<Report> {
    let query = match (&flags.request, &flags.target) {
        (Some(request), None) => ("request", request.as_str()),
        (None, Some(target)) => ("target", target.as_str()),
        _ => return ExplainWhatSnafu.fail(),
    };
    let admin = AdminClient::new(flags.access())?;
    let answer = admin.get("/v1/explain", &[query]).await?;
    Ok(Report::done(show(&answer, flags.json)))
}

fn show(value: &Value, json: bool) -> String {
    if json {
        format!("{value:#}\n")
    } else {
        render::readable(value)
    }
}
