//! Entry point of the `plantainpost` binary.

fn main() {}
