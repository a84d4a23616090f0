//! Exit codes of the program.

use std::process::ExitCode;

/// Exit status of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed, and nothing changed.
    Error = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The plan is void because another confirmation was decided first.
    Void = 3,
    /// The outcome is unknown: the confirmation may have taken effect.
    Unknown = 4,
    /// The request of a dry run would wait for a slot or a rate limit.
    WouldWait = 5,
    /// The request of a dry run would be refused.
    WouldBeRefused = 6,
}

/// Section on exit codes at the end of the help text.
pub(crate) const EXIT_CODES_HELP: &str = "\
Exit codes:
  0                 done
  1                 error, nothing changed
  2                 wrong command line
  3                 plan void, another confirmation was decided first
  4                 outcome unknown, the confirmation may have taken effect
  5                 route: the request would wait
  6                 route: the request would be refused
";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
