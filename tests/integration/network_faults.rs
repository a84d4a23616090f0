//! Faults of the network between nodes under load.

use googletest::prelude::*;
use plantainpost_standin::{
    proxy::{ProxyFaults, RelayFaults},
    target::{RequestFailure, TargetFaults},
};

use crate::fault_cases::{Fault, LONG_FAULT_MS, SHORT_FAULT_MS, case, run_cases, step};

fn cut_after_bytes_to_server(bytes: u64) -> Fault {
    Fault::Connections(ProxyFaults {
        cut_after_bytes_to_server: Some(bytes),
        ..Default::default()
    })
}

fn cut_after_bytes_to_client(bytes: u64) -> Fault {
    Fault::Connections(ProxyFaults {
        cut_after_bytes_to_client: Some(bytes),
        ..Default::default()
    })
}

/// Holds back bytes on connections to all nodes, in either or both directions.
fn hold_bytes(to_server: bool, to_client: bool) -> Fault {
    Fault::Connections(ProxyFaults {
        hold_to_server: to_server,
        hold_to_client: to_client,
        ..Default::default()
    })
}

fn close_new_connections() -> Fault {
    Fault::Connections(ProxyFaults {
        close_new_connections: true,
        ..Default::default()
    })
}

fn delay_bytes(ms: u64) -> Fault {
    Fault::Connections(ProxyFaults {
        delay_ms: ms,
        ..Default::default()
    })
}

/// Guards against violated guarantees when a connection is closed during the handshake, or in
/// the head or body of a request or an answer.
#[gtest]
fn guarantees_hold_when_connections_are_cut() {
    let cut_all = || step(100, [Fault::CutConnections]);
    let cases = [
        case(
            "all connections cut 20 times",
            Vec::from_iter((0..20).map(|_| cut_all())),
        ),
        case(
            "cut in the handshake, to the server",
            [step(SHORT_FAULT_MS, [cut_after_bytes_to_server(40)])],
        ),
        case(
            "cut in the head, to the server",
            [step(SHORT_FAULT_MS, [cut_after_bytes_to_server(300)])],
        ),
        case(
            "cut in a short body, to the server",
            [step(SHORT_FAULT_MS, [cut_after_bytes_to_server(600)])],
        ),
        case(
            "cut in a long body, to the server",
            [step(SHORT_FAULT_MS, [cut_after_bytes_to_server(80_000)])],
        ),
        case(
            "cut in the handshake, to the client",
            [step(SHORT_FAULT_MS, [cut_after_bytes_to_client(30)])],
        ),
        case(
            "cut in the head, to the client",
            [step(SHORT_FAULT_MS, [cut_after_bytes_to_client(200)])],
        ),
        case(
            "cut in a body, to the client",
            [step(SHORT_FAULT_MS, [cut_after_bytes_to_client(20_000)])],
        ),
        case(
            "cut in a long body, to the client",
            [step(SHORT_FAULT_MS, [cut_after_bytes_to_client(200_000)])],
        ),
        case(
            "new connections refused",
            [step(
                LONG_FAULT_MS,
                [close_new_connections(), Fault::CutConnections],
            )],
        ),
    ];
    expect_that!(run_cases(&cases), is_empty());
}

/// Guards against a deadline that is restarted, and an answer that is taken for another
/// request's, when bytes arrive after the deadline.
#[gtest]
fn guarantees_hold_when_bytes_are_late() {
    let closing_targets = || {
        Fault::Targets(TargetFaults {
            fail: RequestFailure::CloseAfterWork,
            fail_permille: 500,
            ..Default::default()
        })
    };
    let cases = [
        case(
            "bytes to the server held back",
            [step(LONG_FAULT_MS, [hold_bytes(true, false)])],
        ),
        case(
            "bytes to the client held back",
            [step(LONG_FAULT_MS, [hold_bytes(false, true)])],
        ),
        case(
            "bytes held back in both directions",
            [step(LONG_FAULT_MS, [hold_bytes(true, true)])],
        ),
        case("bytes delayed", [step(LONG_FAULT_MS, [delay_bytes(200)])]),
        case(
            "bytes to the server held back twice",
            [
                step(LONG_FAULT_MS, [hold_bytes(true, false)]),
                step(LONG_FAULT_MS, [hold_bytes(true, false)]),
            ],
        ),
        case(
            "bytes to the client held back while the target closes",
            [step(
                LONG_FAULT_MS,
                [closing_targets(), hold_bytes(false, true)],
            )],
        ),
        case(
            "bytes to the server held back, then cut",
            [
                step(LONG_FAULT_MS, [hold_bytes(true, false)]),
                step(SHORT_FAULT_MS, [Fault::CutConnections]),
            ],
        ),
    ];
    expect_that!(run_cases(&cases), is_empty());
}

/// Guards against guarantees that depend on the delivery of datagrams.
#[gtest]
fn guarantees_hold_when_datagrams_fail() {
    let faults = |faults| [step(LONG_FAULT_MS, [Fault::Datagrams(faults)])];
    let cases = [
        case(
            "half of the datagrams lost",
            faults(RelayFaults {
                loss_permille: 500,
                ..Default::default()
            }),
        ),
        case(
            "datagrams delayed",
            faults(RelayFaults {
                delay_ms: 600,
                ..Default::default()
            }),
        ),
        case(
            "datagrams duplicated and reordered",
            faults(RelayFaults {
                duplicate_permille: 500,
                reorder_permille: 500,
                reorder_ms: 900,
                ..Default::default()
            }),
        ),
        case(
            "datagrams lost, duplicated and reordered while the guard is killed",
            [step(
                LONG_FAULT_MS,
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
        case(
            "all datagrams lost in one direction",
            faults(RelayFaults {
                block_to_server: true,
                ..Default::default()
            }),
        ),
    ];
    expect_that!(run_cases(&cases), is_empty());
}
