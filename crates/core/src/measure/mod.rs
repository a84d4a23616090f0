//! The budget for measuring load.
