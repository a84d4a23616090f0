//! Exit codes of the program.

use std::process::ExitCode;

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command did what it was asked to do.
    Done = 0,
    /// The command failed, and nothing changed.
    Error = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The plan is void: another confirmation was decided first.
    Void = 3,
    /// The confirmation may have taken effect.
    Unknown = 4,
}

/// Exit codes as the help text shows them.
pub(crate) const HELP: &str = "\
Exit codes:
  0                 done
  1                 error, nothing changed
  2                 wrong command line
  3                 plan void, another confirmation was decided first
  4                 outcome unknown, the confirmation may have taken effect
";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
