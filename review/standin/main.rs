//! Runs the scripted cases of the review: starts nodes with the command of the deploy file, plays
//! the platform's store, endpoints and clients, and checks the rule of the case.
//!
//! Usage: `review-standin CASE RECORD_FILE`, in the root of the repository. Exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod endpoint;
mod http;
mod node;
mod record;
mod store;

use std::{env, process};

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, file] = &args[..] else {
        eprintln!("usage: review-standin CASE RECORD_FILE");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    // A panic means that the case couldn't run. Nodes end with their handles.
    let result = std::panic::catch_unwind(|| cases::run(case, file, has_trouble));
    process::exit(match result {
        Ok(Ok(broken)) => i32::from(broken),
        Ok(Err(e)) => {
            eprintln!("the case couldn't run: {e}");
            2
        }
        Err(_) => 2,
    });
}
