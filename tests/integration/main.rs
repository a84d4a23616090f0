//! Integration tests that start the `plantainpost` binary.

mod audit;
mod bad_input;
mod configuration;
mod failure_outcomes;
mod fault_cases;
mod faulty_targets;
mod fleet_fixture;
mod http_client;
mod late_configuration;
mod network_faults;
mod node_faults;
mod operator_races;
mod platform;
mod platform_fixture;
mod requests;
mod scripted_entry;
mod scripted_guard;
mod scripted_peer;
mod scripted_resume;
mod scripted_stop;
mod silent_connections;
mod soak;
mod stale_configuration;
mod stop;
mod target_statements;
mod uploads;
