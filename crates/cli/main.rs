//! Entry point of the `plantainpost` binary.

mod admin;
mod commands;
mod exit;
mod flags;
mod ini_file;
mod intent;
mod keys;
mod logging;
mod node;
mod render;
mod settings;
mod trace;
mod value;

use std::{
    io::{Write, stderr, stdout},
    process::ExitCode,
};

use argh::FromArgs;

use crate::{exit::Exit, flags::Flags};

const PROGRAM: &str = "plantainpost";

fn main() -> ExitCode {
    let args: Result<Vec<String>, _> = std::env::args_os()
        .skip(1)
        .map(|arg| arg.into_string())
        .collect();
    let Ok(args) = args else {
        print_error("an argument is not UTF-8; see --help");
        return Exit::Usage.into();
    };
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match Flags::from_args(&[PROGRAM], &args) {
        Ok(flags) => execute(flags),
        Err(early) if early.status.is_ok() => {
            print(&format!("{}\n{}", early.output, exit::EXIT_CODES_HELP));
            Exit::Done.into()
        }
        Err(early) => {
            print_error(&format!("{}; see --help", one_line(&early.output)));
            Exit::Usage.into()
        }
    }
}

fn execute(flags: Flags) -> ExitCode {
    match commands::execute(flags.command) {
        Ok(output) => {
            print(&output.text);
            output.exit.into()
        }
        Err(error) => {
            print_error(&error.to_string());
            error.exit().into()
        }
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Prints to standard output. Errors are ignored: the reader may have closed the pipe.
fn print(text: &str) {
    let _ = stdout().write_all(text.as_bytes());
}

fn print_error(message: &str) {
    let _ = writeln!(stderr(), "{PROGRAM}: {message}");
}
