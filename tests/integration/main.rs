//! Integration tests that start the real binary.

mod answers;
mod bad_input;
mod configuration;
mod faults;
mod links;
mod requests;
mod rows;
mod stop;
mod util;
