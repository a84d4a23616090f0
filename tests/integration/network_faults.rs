//! Failures of the network between nodes under load.

use googletest::prelude::*;
use plantainpost_standin::{
    proxy::{ProxyFaults, RelayFaults},
    target::{Fail, TargetFaults},
};

use crate::fault_cases::{Fault, LONG_MS, SHORT_MS, row, run_rows, step};

fn cut_up(bytes: u64) -> Fault {
    Fault::Connections(ProxyFaults {
        cut_after_up: Some(bytes),
        ..Default::default()
    })
}

fn cut_down(bytes: u64) -> Fault {
    Fault::Connections(ProxyFaults {
        cut_after_down: Some(bytes),
        ..Default::default()
    })
}

fn hold(up: bool, down: bool) -> Fault {
    Fault::Connections(ProxyFaults {
        hold_up: up,
        hold_down: down,
        ..Default::default()
    })
}

fn refuse() -> Fault {
    Fault::Connections(ProxyFaults {
        refuse: true,
        ..Default::default()
    })
}

fn delay(ms: u64) -> Fault {
    Fault::Connections(ProxyFaults {
        delay_ms: ms,
        ..Default::default()
    })
}

/// Guards against promises that a connection breaks when it is cut in the handshake, in
/// the head or in the body of a request or an answer.
#[gtest]
fn promises_hold_when_connections_are_cut() {
    let cut = || step(100, [Fault::Cut]);
    let rows = [
        row("all cut 20 times", Vec::from_iter((0..20).map(|_| cut()))),
        row("cut in the handshake, up", [step(SHORT_MS, [cut_up(40)])]),
        row("cut in the head, up", [step(SHORT_MS, [cut_up(300)])]),
        row("cut in a short body, up", [step(SHORT_MS, [cut_up(600)])]),
        row("cut in a long body, up", [step(SHORT_MS, [cut_up(80_000)])]),
        row(
            "cut in the handshake, down",
            [step(SHORT_MS, [cut_down(30)])],
        ),
        row("cut in the head, down", [step(SHORT_MS, [cut_down(200)])]),
        row("cut in a body, down", [step(SHORT_MS, [cut_down(20_000)])]),
        row(
            "cut in a long body, down",
            [step(SHORT_MS, [cut_down(200_000)])],
        ),
        row(
            "new connections refused",
            [step(LONG_MS, [refuse(), Fault::Cut])],
        ),
    ];
    expect_that!(run_rows(&rows), is_empty());
}

/// Guards against a deadline that starts again, and an answer that meets another request,
/// when bytes arrive after the deadline.
#[gtest]
fn promises_hold_when_bytes_are_late() {
    let closes = || {
        Fault::Targets(TargetFaults {
            fail: Fail::CloseAfterWork,
            fail_permille: 500,
            ..Default::default()
        })
    };
    let rows = [
        row("held up", [step(LONG_MS, [hold(true, false)])]),
        row("held down", [step(LONG_MS, [hold(false, true)])]),
        row(
            "held in both directions",
            [step(LONG_MS, [hold(true, true)])],
        ),
        row("delayed", [step(LONG_MS, [delay(200)])]),
        row(
            "held up twice",
            [
                step(LONG_MS, [hold(true, false)]),
                step(LONG_MS, [hold(true, false)]),
            ],
        ),
        row(
            "held down while the target closes",
            [step(LONG_MS, [closes(), hold(false, true)])],
        ),
        row(
            "held up, then cut",
            [
                step(LONG_MS, [hold(true, false)]),
                step(SHORT_MS, [Fault::Cut]),
            ],
        ),
    ];
    expect_that!(run_rows(&rows), is_empty());
}

/// Guards against promises that depend on datagrams.
#[gtest]
fn promises_hold_when_datagrams_fail() {
    let faults = |faults| [step(LONG_MS, [Fault::Datagrams(faults)])];
    let rows = [
        row(
            "half lost",
            faults(RelayFaults {
                loss_permille: 500,
                ..Default::default()
            }),
        ),
        row(
            "delayed",
            faults(RelayFaults {
                delay_ms: 600,
                ..Default::default()
            }),
        ),
        row(
            "duplicated and reordered",
            faults(RelayFaults {
                duplicate_permille: 500,
                reorder_permille: 500,
                reorder_ms: 900,
                ..Default::default()
            }),
        ),
        row(
            "lost, duplicated and reordered while the guard is killed",
            [step(
                LONG_MS,
                [
                    Fault::Datagrams(RelayFaults {
                        loss_permille: 300,
                        duplicate_permille: 300,
                        reorder_permille: 300,
                        reorder_ms: 900,
                        ..Default::default()
                    }),
                    Fault::KillGuard,
                ],
            )],
        ),
        row(
            "all lost in one direction",
            faults(RelayFaults {
                block_up: true,
                ..Default::default()
            }),
        ),
    ];
    expect_that!(run_rows(&rows), is_empty());
}
