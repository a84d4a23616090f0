//! Cases of the second review that run the project's nodes as separate processes.
//!
//! Usage: `cases NAME FOLDER`, in the root of the repository. Writes `FOLDER/record.txt`. Exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the
//! disruption is left out.

mod client;
mod endpoint;
mod fleet;
mod gone;
mod http;
mod origin;
mod proxy;
mod record;
mod reuse;
mod stop;
mod store;

use std::{io, path::Path, process};

use record::Record;

/// What a case takes.
pub struct Case {
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Returns the rule's breaches, one line each; empty if the rule held.
type Run = fn(&Case) -> io::Result<Vec<String>>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &args[..] else {
        eprintln!("usage: cases NAME FOLDER");
        process::exit(2);
    };
    let run: Run = match name.as_str() {
        "gone" => gone::run,
        "origin" => origin::run,
        "reuse" => reuse::run,
        "stop-late" => stop::run_late,
        "stop-reloaded" => stop::run_reloaded,
        _ => {
            eprintln!("there is no case {name}");
            process::exit(2);
        }
    };
    process::exit(run_case(run, Path::new(folder)));
}

fn run_case(run: Run, folder: &Path) -> i32 {
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("can't write the record: {e}");
            return 2;
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { record, trouble };
    case.record.line(&format!("disruption: {trouble}"));
    match run(&case) {
        Err(e) => {
            case.record.line(&format!("the case could not run: {e}"));
            eprintln!("the case could not run: {e}");
            2
        }
        Ok(breaches) if breaches.is_empty() => {
            case.record.line("the rule held");
            0
        }
        Ok(breaches) => {
            for breach in &breaches {
                case.record.line(&format!("BROKEN: {breach}"));
            }
            println!("broken: {} times; the first: {}", breaches.len(), breaches[0]);
            1
        }
    }
}
