//! Integration tests that start the real binary.
