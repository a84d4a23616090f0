//! The stand-ins as separate processes.

fn main() {}
