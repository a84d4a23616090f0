//! Integration tests that start the real binary.

mod answers;
mod audit;
mod bad_input;
mod call;
mod configuration;
mod cut_off;
mod faults;
mod links;
mod peer;
mod platform;
mod platform_fixture;
mod races;
mod requests;
mod rows;
mod scripted_entry;
mod scripted_guard;
mod scripted_stop;
mod soak;
mod stop;
mod uploads;
mod util;
