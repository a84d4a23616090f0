//! Admission at the guard: slots, queue, refusals and request records.
