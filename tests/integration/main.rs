//! Integration tests that start the real binary.

mod bad_input;
mod configuration;
mod faults;
mod requests;
mod stop;
mod util;
