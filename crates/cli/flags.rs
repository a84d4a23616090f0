//! The command line. Every flag is defined here, once.

use argh::FromArgs;

/// Address of the admin listener that commands ask by default.
const DEFAULT_ADMIN: &str = "127.0.0.1:8081";

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
    Trace(Trace),
}

/// Address and token file for calls to the admin listener of a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdminAccess<'a> {
    pub(crate) admin: &'a str,
    pub(crate) token_file: Option<&'a str>,
}

/// Defines a command that talks to the admin listener, with the flags that all of
/// these commands share.
macro_rules! admin_command {
    ($(#[$meta:meta])* $name:ident { $($fields:tt)* }) => {
        #[derive(FromArgs, Debug)]
        $(#[$meta])*
        pub(crate) struct $name {
            /// address of the admin listener, IP and port (default 127.0.0.1:8081)
            #[argh(option, default = "DEFAULT_ADMIN.to_owned()", arg_name = "address")]
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

/// Check a settings file and print the values in force.
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

/// Print what the logs of several nodes say about a request, in order of time.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Trace {
    /// id of the request, as its caller knows it
    #[argh(positional, arg_name = "id")]
    pub(crate) id: String,

    /// log files with JSON lines; each is named after its node
    #[argh(positional, arg_name = "file")]
    pub(crate) files: Vec<String>,
}

admin_command! {
    /// Turn an intent into a plan. Nothing changes until the plan is confirmed.
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
    /// Confirm a saved plan and wait until it is decided.
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
    /// Show members, targets, versions in force and the measuring budget.
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
    /// Show why a request went where it did, or why a target gets no work.
    #[argh(subcommand, name = "explain")]
    Explain {
        /// request id, from the answer header plantainpost-request-id
        #[argh(option, arg_name = "id")]
        pub(crate) request: Option<String>,

        /// name of the target
        #[argh(option, arg_name = "name")]
        pub(crate) target: Option<String>,
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

/// Defines an intent on targets, hosts and data centres.
macro_rules! places_intent {
    ($(#[$meta:meta])* $name:ident) => {
        #[derive(FromArgs, Debug)]
        $(#[$meta])*
        pub(crate) struct $name {
            /// target; may be repeated
            #[argh(option, arg_name = "name")]
            pub(crate) target: Vec<String>,

            /// host; may be repeated
            #[argh(option, arg_name = "name")]
            pub(crate) host: Vec<String>,

            /// data centre; may be repeated
            #[argh(option, arg_name = "name")]
            pub(crate) data_centre: Vec<String>,
        }
    };
}

places_intent! {
    /// Give targets, hosts or data centres no new work.
    #[argh(subcommand, name = "leave")]
    Leave
}

places_intent! {
    /// Give targets, hosts or data centres work again.
    #[argh(subcommand, name = "return")]
    Return
}

/// Set the share of one core that measuring may take.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Measure {
    /// share in permille, 0 to 1000; 0 disables measuring
    #[argh(positional, arg_name = "permille")]
    pub(crate) permille: u16,
}

/// List the methods of a service that may be repeated.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "repeatable")]
pub(crate) struct Repeatable {
    /// service
    #[argh(positional, arg_name = "service")]
    pub(crate) service: String,

    /// methods, replacing the list in force; none empties the list
    #[argh(positional, arg_name = "method")]
    pub(crate) methods: Vec<String>,
}

/// Return to an earlier version.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "restore")]
pub(crate) struct Restore {
    /// version, the log offset of its confirmation
    #[argh(positional, arg_name = "version")]
    pub(crate) version: u64,
}

/// State the configuration in force at this node anew, whatever lost records said. Use it
/// only when the log has lost records that no node has read.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "override")]
pub(crate) struct Override {}
