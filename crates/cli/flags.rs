//! Definition of the command line.

use argh::FromArgs;

/// Default address of the admin listener.
const DEFAULT_ADMIN_ADDRESS: &str = "127.0.0.1:8081";

/// Load balancer for servers whose load changes within milliseconds.
#[derive(FromArgs, Debug)]
pub(crate) struct Flags {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum Command {
    Run(Run),
    Check(Check),
    Plan(Plan),
    Confirm(Confirm),
    Status(Status),
    Audit(Audit),
    Explain(Explain),
    Route(Route),
    Trace(Trace),
}

/// Address and token file for calls to the admin listener of a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdminAccess<'a> {
    pub(crate) admin: &'a str,
    pub(crate) token_file: Option<&'a str>,
}

/// Defines a command that calls the admin listener, with the flags that all of these commands
/// have.
macro_rules! admin_command {
    ($(#[$meta:meta])* $name:ident { $($fields:tt)* }) => {
        #[derive(FromArgs, Debug)]
        $(#[$meta])*
        pub(crate) struct $name {
            /// address of the admin listener, IP address and port (default 127.0.0.1:8081)
            #[argh(option, default = "DEFAULT_ADMIN_ADDRESS.to_owned()", arg_name = "address")]
            admin: String,

            /// file with the bearer token; otherwise PLANTAINPOST_TOKEN is used if set
            #[argh(option, arg_name = "file")]
            token_file: Option<String>,

            /// print JSON instead of a table
            #[argh(switch)]
            pub(crate) json: bool,

            $($fields)*
        }

        impl $name {
            /// Returns the address and token file given on the command line.
            pub(crate) fn access(&self) -> AdminAccess<'_> {
                AdminAccess {
                    admin: &self.admin,
                    token_file: self.token_file.as_deref(),
                }
            }
        }
    };
}

/// Start a node.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "run")]
pub(crate) struct Run {
    /// settings file
    #[argh(positional, arg_name = "settings.ini")]
    pub(crate) settings: String,
}

/// Check a settings file and print the effective values.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// settings file
    #[argh(positional, arg_name = "settings.ini")]
    pub(crate) settings: Option<String>,

    /// print a commented example file instead
    #[argh(switch)]
    pub(crate) example: bool,

    /// print JSON instead of a table
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Print the log lines of several nodes about a request, in order of time.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Trace {
    /// request id, as known to the caller
    #[argh(positional, arg_name = "id")]
    pub(crate) id: String,

    /// log files with JSON lines, each named after its node
    #[argh(positional, arg_name = "file")]
    pub(crate) files: Vec<String>,
}

admin_command! {
    /// Plan a configuration change. Nothing changes until the plan is confirmed.
    #[argh(subcommand, name = "plan")]
    Plan {
        /// name of the operator, kept in the audit trail
        #[argh(option, arg_name = "name")]
        pub(crate) author: String,

        /// file to save the plan to (default plan.json)
        #[argh(option, default = "\"plan.json\".to_owned()", arg_name = "file")]
        pub(crate) out: String,

        #[argh(subcommand)]
        pub(crate) intent: IntentFlags,
    }
}

admin_command! {
    /// Confirm a saved plan and wait for the decision.
    #[argh(subcommand, name = "confirm")]
    Confirm {
        /// name of the operator, kept in the audit trail
        #[argh(option, arg_name = "name")]
        pub(crate) author: String,

        /// plan to confirm
        #[argh(positional, arg_name = "plan-file")]
        pub(crate) plan: String,
    }
}

admin_command! {
    /// Show members, targets, configuration versions and the load measurement budget.
    #[argh(subcommand, name = "status")]
    Status {}
}

admin_command! {
    /// Show the audit trail.
    #[argh(subcommand, name = "audit")]
    Audit {
        /// first offset to show (default 0)
        #[argh(option, default = "0", arg_name = "offset")]
        pub(crate) from: u64,
    }
}

admin_command! {
    /// Show why a request was sent to its target, or why a target gets no requests.
    #[argh(subcommand, name = "explain")]
    Explain {
        /// request id, from the response header plantainpost-request-id
        #[argh(option, arg_name = "id")]
        pub(crate) request: Option<String>,

        /// name of the target
        #[argh(option, arg_name = "name")]
        pub(crate) target: Option<String>,
    }
}

admin_command! {
    /// Show where a request would go now, and why, without sending it.
    #[argh(subcommand, name = "route")]
    Route {
        /// host of the request, or service where requests are routed by service
        #[argh(positional, arg_name = "host")]
        pub(crate) host: String,

        /// path of the request (default /)
        #[argh(option, default = "\"/\".to_owned()", arg_name = "path")]
        pub(crate) path: String,

        /// method of the request (default GET)
        #[argh(option, default = "\"GET\".to_owned()", arg_name = "method")]
        pub(crate) method: String,

        /// name of the workspace that the request belongs to, in place of a key
        #[argh(option, arg_name = "name")]
        pub(crate) workspace: Option<String>,

        /// file with the key of a workspace, or - for standard input; the key is never printed
        #[argh(option, arg_name = "file")]
        pub(crate) key_file: Option<String>,

        /// length of the body in bytes (default 0)
        #[argh(option, default = "0", arg_name = "bytes")]
        pub(crate) body: u64,

        /// time until the deadline in milliseconds (default as for a caller that gives none)
        #[argh(option, arg_name = "ms")]
        pub(crate) timeout: Option<u64>,
    }
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum IntentFlags {
    Share(Share),
    Leave(Leave),
    Return(Return),
    Measure(Measure),
    Repeatable(Repeatable),
    Restore(Restore),
    Override(Override),
}

/// Set the shares of a service's traffic by data centre or target.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "share")]
pub(crate) struct Share {
    /// service
    #[argh(positional, arg_name = "service")]
    pub(crate) service: String,

    /// share of a data centre, as name=weight; may be repeated
    #[argh(option, arg_name = "name=weight")]
    pub(crate) data_centre: Vec<String>,

    /// share of a target, as name=weight; may be repeated
    #[argh(option, arg_name = "name=weight")]
    pub(crate) target: Vec<String>,
}

/// Defines an intent that takes lists of targets, hosts and data centres.
macro_rules! intent_by_location {
    ($(#[$meta:meta])* $name:ident) => {
        #[derive(FromArgs, Debug)]
        $(#[$meta])*
        pub(crate) struct $name {
            /// target; may be repeated
            #[argh(option, arg_name = "name")]
            pub(crate) target: Vec<String>,

            /// IP address of a host; may be repeated
            #[argh(option, arg_name = "name")]
            pub(crate) host: Vec<String>,

            /// data centre; may be repeated
            #[argh(option, arg_name = "name")]
            pub(crate) data_centre: Vec<String>,
        }
    };
}

intent_by_location! {
    /// Send no new requests to targets, hosts or data centres.
    #[argh(subcommand, name = "leave")]
    Leave
}

intent_by_location! {
    /// Send requests to targets, hosts or data centres again after `leave`.
    #[argh(subcommand, name = "return")]
    Return
}

/// Set the share of one CPU core that load measurement may use.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Measure {
    /// share in permille, 0 to 1000; 0 disables load measurement
    #[argh(positional, arg_name = "permille")]
    pub(crate) permille: u16,
}

/// Set the methods of a service that may run more than once.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "repeatable")]
pub(crate) struct Repeatable {
    /// service
    #[argh(positional, arg_name = "service")]
    pub(crate) service: String,

    /// methods, replacing the current list; none empties the list
    #[argh(positional, arg_name = "method")]
    pub(crate) methods: Vec<String>,
}

/// Restore an earlier version of the configuration.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "restore")]
pub(crate) struct Restore {
    /// version: the log offset of its confirmation
    #[argh(positional, arg_name = "version")]
    pub(crate) version: u64,
}

/// Record the configuration in force at this node again, regardless of lost log records. Use it
/// only when the log has lost records that no node has read.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "override")]
pub(crate) struct Override {}
