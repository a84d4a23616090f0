//! Implementation of the subcommands.

use std::{
    fs,
    future::Future,
    io::{self, Read},
};

use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    admin::{AdminClient, AdminError},
    exit::Exit,
    flags::{Audit, Check, Command, Confirm, Explain, Plan, Route, Run, Status},
    intent::{self, IntentError},
    keys, logging,
    node::{self, RunError},
    render,
    settings::{self, Settings, SettingsError},
    trace::{self, TraceError},
};

/// Error of a command.
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
    ReadPlanFile {
        file: String,
        source: std::io::Error,
    },

    #[snafu(display("{file}: not a plan: {source}; save a new one with `plan --out`"))]
    ParsePlan {
        file: String,
        source: serde_json::Error,
    },

    #[snafu(display("{file}: can't save plan: {source}; give another file with --out"))]
    SavePlanFile {
        file: String,
        source: std::io::Error,
    },

    #[snafu(display("can't start the runtime: {source}; check the limits of the process"))]
    Runtime { source: std::io::Error },

    #[snafu(display("check: give a settings file or --example"))]
    CheckArguments,

    #[snafu(display("explain: give either --request or --target"))]
    ExplainArguments,

    #[snafu(display("route: give either --workspace or --key-file"))]
    RouteArguments,

    #[snafu(display("{file}: can't read key: {source}; check name and permissions"))]
    ReadKeyFile {
        file: String,
        source: std::io::Error,
    },

    #[snafu(display(
        "confirm: the outcome is unknown: {source}; see `audit`, or confirm the same plan again"
    ))]
    UnknownOutcome { source: AdminError },

    #[snafu(display("{address}: response without outcome; check the version of the node"))]
    MissingVerdict { address: std::net::SocketAddr },

    #[snafu(display("{address}: response without outcome; see `audit`"))]
    MissingOutcome { address: std::net::SocketAddr },
}

impl CommandError {
    /// Returns the exit code that the program ends with after this error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            CommandError::Intent { .. }
            | CommandError::CheckArguments
            | CommandError::ExplainArguments
            | CommandError::RouteArguments
            | CommandError::Trace {
                source: TraceError::NoFile,
            } => Exit::Usage,
            CommandError::UnknownOutcome { .. } | CommandError::MissingOutcome { .. } => {
                Exit::Unknown
            }
            _ => Exit::Error,
        }
    }
}

/// Text that a command prints on standard output, and its exit code.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) text: String,
    pub(crate) exit: Exit,
}

impl CommandOutput {
    fn success(text: String) -> Self {
        CommandOutput {
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
/// Fails if the arguments are invalid, a file can't be read or written, or a node refuses the
/// call or can't be reached.
pub(crate) fn execute(command: Command) -> Result<CommandOutput> {
    match command {
        Command::Run(flags) => run(&flags),
        Command::Check(flags) => check(&flags),
        Command::Plan(flags) => block_on(plan(flags)),
        Command::Confirm(flags) => block_on(confirm(flags)),
        Command::Status(flags) => block_on(status(flags)),
        Command::Audit(flags) => block_on(audit(flags)),
        Command::Explain(flags) => block_on(explain(flags)),
        Command::Route(flags) => block_on(route(flags)),
        Command::Trace(flags) => Ok(CommandOutput::success(trace::trace_request(
            &flags.id,
            &flags.files,
        )?)),
    }
}

fn block_on(command: impl Future<Output = Result<CommandOutput>>) -> Result<CommandOutput> {
    let runtime = actix_rt::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(command)
}

fn run(flags: &Run) -> Result<CommandOutput> {
    let (settings, _) = Settings::load(&flags.settings)?;
    let (logger, _guard) = logging::build(&settings.output);
    slog::info!(logger, "starting"; "node" => &settings.node.name);
    block_on(async {
        let summary = node::run(&flags.settings, &settings, logger).await?;
        Ok(CommandOutput::success(format!("{summary}\n")))
    })
}

fn check(flags: &Check) -> Result<CommandOutput> {
    let file = match &flags.settings {
        _ if flags.example => return Ok(CommandOutput::success(keys::example_file())),
        Some(file) => file,
        None => return CheckArgumentsSnafu.fail(),
    };
    let (_, values) = Settings::load(file)?;
    let effective = settings::effective_values(&values);
    if flags.json {
        let mut sections = json!({});
        for (section, key, value) in effective {
            sections[section][key] = Value::String(value);
        }
        return Ok(CommandOutput::success(format_output(&sections, true)));
    }
    let rows: Vec<_> = effective
        .map(|(section, key, value)| vec![section.to_owned(), key.to_owned(), value])
        .collect();
    Ok(CommandOutput::success(render::format_table(
        &["section", "key", "value"],
        &rows,
    )))
}

async fn plan(flags: Plan) -> Result<CommandOutput> {
    let admin = AdminClient::new(flags.access())?;
    let intent = intent::from_flags(flags.intent)?;
    let body = json!({ "author": flags.author, "intent": intent });
    let plan = admin.post("/v1/plan", &body).await?;
    let file = &flags.out;
    fs::write(file, format_output(&plan, true)).context(SavePlanFileSnafu { file })?;
    if flags.json {
        return Ok(CommandOutput::success(format_output(&plan, true)));
    }
    let saved = format!(
        "\nSaved to {file}. Nothing has changed yet; `confirm {file}` confirms the plan.\n"
    );
    Ok(CommandOutput::success(
        format_output(&without_content(plan), false) + &saved,
    ))
}

/// Removes the full configuration from a plan for display: `changes` and `stays` describe it.
fn without_content(mut plan: Value) -> Value {
    if let Some(plan) = plan.as_object_mut() {
        plan.remove("content");
    }
    plan
}

async fn confirm(flags: Confirm) -> Result<CommandOutput> {
    let admin = AdminClient::new(flags.access())?;
    let file = &flags.plan;
    let text = fs::read_to_string(file).context(ReadPlanFileSnafu { file })?;
    let plan: Value = serde_json::from_str(&text).context(ParsePlanSnafu { file })?;
    let body = json!({ "author": flags.author, "plan": plan });
    let response = match admin.post("/v1/confirm", &body).await {
        // An outcome in the body takes precedence over an error status.
        Err(AdminError::Status { body, .. }) if exit_for_outcome(&body).is_some() => body,
        Err(error) if error.has_unknown_outcome() => {
            return Err(error).context(UnknownOutcomeSnafu);
        }
        result => result?,
    };
    let address = admin.address();
    let exit = exit_for_outcome(&response).context(MissingOutcomeSnafu { address })?;
    Ok(CommandOutput {
        text: format_output(&response, flags.json),
        exit,
    })
}

/// Returns the exit code for the outcome in the response to a confirmation, or `None` if there is
/// no known outcome.
fn exit_for_outcome(response: &Value) -> Option<Exit> {
    match response.get("outcome")?.as_str()? {
        "in-force" => Some(Exit::Done),
        "void" => Some(Exit::Void),
        "unknown" => Some(Exit::Unknown),
        "unavailable" => Some(Exit::Error),
        _ => None,
    }
}

async fn status(flags: Status) -> Result<CommandOutput> {
    let admin = AdminClient::new(flags.access())?;
    let response = admin.get("/v1/status", &[]).await?;
    Ok(CommandOutput::success(format_output(&response, flags.json)))
}

async fn audit(flags: Audit) -> Result<CommandOutput> {
    let admin = AdminClient::new(flags.access())?;
    let from = flags.from.to_string();
    let response = admin.get("/v1/audit", &[("from", &from)]).await?;
    Ok(CommandOutput::success(format_output(&response, flags.json)))
}

async fn explain(flags: Explain) -> Result<CommandOutput> {
    let query = match (&flags.request, &flags.target) {
        (Some(request), None) => ("request", request.as_str()),
        (None, Some(target)) => ("target", target.as_str()),
        _ => return ExplainArgumentsSnafu.fail(),
    };
    let admin = AdminClient::new(flags.access())?;
    let response = admin.get("/v1/explain", &[query]).await?;
    Ok(CommandOutput::success(format_output(&response, flags.json)))
}

async fn route(flags: Route) -> Result<CommandOutput> {
    if flags.workspace.is_some() && flags.key_file.is_some() {
        return RouteArgumentsSnafu.fail();
    }
    let admin = AdminClient::new(flags.access())?;
    let key = flags.key_file.as_deref().map(read_key).transpose()?;
    let body = json!({
        "host": flags.host,
        "path": flags.path,
        "method": flags.method,
        "workspace": flags.workspace,
        "key": key,
        "body_bytes": flags.body,
        "timeout_ms": flags.timeout,
    });
    let response = admin.post("/v1/route", &body).await?;
    let outcome = response.get("outcome").and_then(Value::as_str);
    let exit = match outcome {
        Some("start") => Exit::Done,
        Some("wait") => Exit::WouldWait,
        Some("refused") => Exit::WouldBeRefused,
        _ => {
            let address = admin.address();
            return MissingVerdictSnafu { address }.fail();
        }
    };
    Ok(CommandOutput {
        text: format_output(&response, flags.json),
        exit,
    })
}

/// Reads a key, without the line end, from a file or from standard input.
fn read_key(file: &str) -> Result<String> {
    let text = match file {
        "-" => {
            let mut text = String::new();
            io::stdin().read_to_string(&mut text).map(|_| text)
        }
        file => fs::read_to_string(file),
    };
    let text = text.context(ReadKeyFileSnafu { file })?;
    Ok(text.trim_ascii_end().to_owned())
}

fn format_output(value: &Value, json: bool) -> String {
    if json {
        format!("{value:#}\n")
    } else {
        render::format_value(value)
    }
}
