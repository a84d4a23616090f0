//! Faults of nodes and targets under load: one at a time, in sequence and together.
//!
//! Afterwards the histories of callers and targets are checked: each caller gets its own
//! complete answer, a request with the outcome "not-run" has not run, no non-idempotent
//! request runs twice, and a leaving target starts nothing after 4 s.

use googletest::prelude::*;
use plantainpost_standin::target::{RequestFailure, TargetFaults};

use crate::fault_cases::{Fault, LONG_FAULT_MS, SHORT_FAULT_MS, case, run_cases, step};

/// Time for which a target is leaving: longer than the 4 s for which it may still start
/// requests.
const LEAVE_FAULT_MS: u64 = 6_000;

fn failing_targets(fail: RequestFailure) -> Fault {
    Fault::Targets(TargetFaults {
        fail,
        fail_permille: 500,
        ..Default::default()
    })
}

fn late_answers() -> Fault {
    Fault::Target(TargetFaults {
        late_ms: 2_500,
        ..Default::default()
    })
}

fn close_idle() -> Fault {
    Fault::Targets(TargetFaults {
        close_idle: true,
        ..Default::default()
    })
}

fn silent_target() -> Fault {
    Fault::Target(TargetFaults {
        silent: true,
        ..Default::default()
    })
}

/// Guards against guarantees that are violated when a target fails.
#[gtest]
fn guarantees_hold_when_a_target_fails() {
    let target = |name, fault| case(name, [step(SHORT_FAULT_MS, [fault])]);
    let cases = [
        target(
            "target fails fast",
            failing_targets(RequestFailure::Status500),
        ),
        target("target closes", failing_targets(RequestFailure::Close)),
        target(
            "target closes after the work",
            failing_targets(RequestFailure::CloseAfterWork),
        ),
        target(
            "answer cut after the head",
            failing_targets(RequestFailure::CutAfterHead),
        ),
        target(
            "answer cut in the body",
            failing_targets(RequestFailure::CutInBody),
        ),
        target("answer never comes", failing_targets(RequestFailure::Never)),
        target("answer unframed", failing_targets(RequestFailure::Unframed)),
        target(
            "answer unframed without connection: close",
            failing_targets(RequestFailure::UnframedSilent),
        ),
        target("idle connections closed", close_idle()),
        target("answers past their deadline", late_answers()),
    ];
    expect_that!(run_cases(&cases), is_empty());
}

/// Guards against new work for a leaving target, with and without the log service, and for a
/// target whose announcement expires.
#[gtest]
fn leaving_target_gets_no_work() {
    let cases = [
        case(
            "target leaves and returns",
            [step(2_000, [Fault::TargetLeaving])],
        ),
        case(
            "target leaves for long",
            [step(LEAVE_FAULT_MS, [Fault::TargetLeaving])],
        ),
        case(
            "target leaves while the log is down",
            [step(LEAVE_FAULT_MS, [Fault::LogDown, Fault::TargetLeaving])],
        ),
        case(
            "announcement expires",
            [step(LEAVE_FAULT_MS, [silent_target()])],
        ),
    ];
    expect_that!(run_cases(&cases), is_empty());
}

/// Guards against guarantees that are violated when a node is killed or suspended.
#[gtest]
fn guarantees_hold_when_a_node_fails() {
    let cases = [
        case("guard killed", [step(0, [Fault::KillGuard])]),
        case(
            "guard killed for long",
            [step(LONG_FAULT_MS, [Fault::KillGuard])],
        ),
        case("guard frozen", [step(LONG_FAULT_MS, [Fault::FreezeGuard])]),
        case("entry frozen", [step(LONG_FAULT_MS, [Fault::FreezeEntry])]),
        case("entry killed", [step(0, [Fault::KillEntry])]),
        case(
            "guard killed twice",
            [step(0, [Fault::KillGuard]), step(0, [Fault::KillGuard])],
        ),
        case(
            "guard frozen twice",
            [
                step(LONG_FAULT_MS, [Fault::FreezeGuard]),
                step(LONG_FAULT_MS, [Fault::FreezeGuard]),
            ],
        ),
        case(
            "guard frozen, then killed, with late answers",
            [
                step(LONG_FAULT_MS, [Fault::FreezeGuard]),
                step(SHORT_FAULT_MS, [late_answers()]),
                step(0, [Fault::KillGuard]),
            ],
        ),
    ];
    expect_that!(run_cases(&cases), is_empty());
}

/// Guards against guarantees that hold only while a single component fails.
#[gtest]
fn guarantees_hold_when_two_components_fail_together() {
    let cases = [
        case(
            "guard and entry frozen",
            [step(
                LONG_FAULT_MS,
                [Fault::FreezeGuard, Fault::FreezeEntry],
            )],
        ),
        case(
            "guard killed while its target closes",
            [step(
                SHORT_FAULT_MS,
                [failing_targets(RequestFailure::Close), Fault::KillGuard],
            )],
        ),
        case(
            "guard frozen with late answers",
            [step(LONG_FAULT_MS, [late_answers(), Fault::FreezeGuard])],
        ),
        case(
            "entry frozen with late answers",
            [step(LONG_FAULT_MS, [late_answers(), Fault::FreezeEntry])],
        ),
        case(
            "guard killed while the log is down",
            [step(SHORT_FAULT_MS, [Fault::LogDown, Fault::KillGuard])],
        ),
        case(
            "guard frozen while its target leaves",
            [step(
                LEAVE_FAULT_MS,
                [Fault::TargetLeaving, Fault::FreezeGuard],
            )],
        ),
        case(
            "answers cut while connections are cut",
            [
                step(
                    SHORT_FAULT_MS,
                    [
                        failing_targets(RequestFailure::CutInBody),
                        Fault::CutConnections,
                    ],
                ),
                step(
                    SHORT_FAULT_MS,
                    [
                        failing_targets(RequestFailure::CutInBody),
                        Fault::CutConnections,
                    ],
                ),
            ],
        ),
    ];
    expect_that!(run_cases(&cases), is_empty());
}
