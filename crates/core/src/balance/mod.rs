//! Choice of a target from estimates of its load.
