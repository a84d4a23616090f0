//! Child processes, with the binary `plantainpost-standin` as the child.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{TIMEOUT, call};
use googletest::prelude::*;
use plantainpost_standin::process::{Process, ProcessSettings, Signal, free_addresses, wait_until};

const APPEND: &str = "POST /-/log-append?topic=config&part=0";
const READ: &str = "GET /-/log-read?topic=config&part=0&from=0";

fn start_standin(args: &[&str]) -> Result<Process> {
    Ok(Process::start(&ProcessSettings {
        program: env!("CARGO_BIN_EXE_plantainpost-standin").into(),
        args: args.iter().map(Into::into).collect(),
        ..Default::default()
    })?)
}

/// Waits for the main and the control address that a stand-in prints at its start.
fn printed_addresses(process: &Process) -> Result<(SocketAddr, SocketAddr)> {
    let line = process.wait_line("listening on", TIMEOUT)?;
    let words: Vec<&str> = line.split(' ').collect();
    let [.., main, _, control] = words[..] else {
        return fail!("unexpected line {line}").map(|()| unreachable!());
    };
    Ok((main.parse()?, control.parse()?))
}

/// Guards against signals that are not delivered or go to another process, and against children
/// that keep running after their handle was dropped.
#[gtest]
fn signals_stop_resume_terminate_and_kill() -> Result<()> {
    let [listen, control] = free_addresses(2)?[..] else {
        return fail!("expected two addresses");
    };
    let (listen, control) = (listen.to_string(), control.to_string());
    let mut log = start_standin(&["log", "--listen", &listen, "--control", &control])?;
    let (address, _) = printed_addresses(&log)?;
    verify_that!(address.to_string(), eq(&listen))?;

    log.signal(Signal::Stop)?;
    let delayed_call = std::thread::spawn(move || call(address, APPEND, "\0\0\0\u{1}a"));
    std::thread::sleep(Duration::from_millis(100));
    if delayed_call.is_finished() {
        return fail!("finished early: {:?}", delayed_call.join());
    }
    log.signal(Signal::Cont)?;
    verify_that!(
        delayed_call.join().expect("the thread does not panic")?.0,
        eq(200)
    )?;

    verify_that!(log.is_running(), eq(true))?;
    verify_that!(log.terminate(TIMEOUT)?.code(), some(eq(0)))?;
    verify_that!(log.is_running(), eq(false))?;

    let mut killed = start_standin(&["log"])?;
    printed_addresses(&killed)?;
    killed.signal(Signal::Kill)?;
    verify_that!(killed.wait_exit(TIMEOUT)?.code(), none())?;

    let dropped = start_standin(&["log"])?;
    let (address, _) = printed_addresses(&dropped)?;
    dropped.signal(Signal::Stop)?;
    drop(dropped);
    verify_that!(call(address, READ, "").is_err(), eq(true))
}

/// Guards against returned ports that are still in use: a child that is being spawned inherits
/// every open socket and keeps it until it executes its program.
#[gtest]
fn free_addresses_are_free_while_children_start() -> Result<()> {
    let spawner = std::thread::spawn(|| (0..100).all(|_| start_standin(&["--help"]).is_ok()));
    let mut in_use = 0;
    while !spawner.is_finished() {
        for address in free_addresses(2)? {
            in_use += u32::from(std::net::TcpListener::bind(address).is_err());
        }
    }
    verify_that!(spawner.join().expect("the thread does not panic"), eq(true))?;
    verify_that!(in_use, eq(0))
}

/// Guards against waits that don't end at their timeout.
#[gtest]
fn waits_end_at_their_timeout() -> Result<()> {
    let mut log = start_standin(&["log"])?;
    let short = Duration::from_millis(50);
    let error = log.wait_line("no such line", short).expect_err("no line");
    expect_that!(error.to_string(), contains_substring("no such line"));
    expect_that!(log.wait_exit(short).is_err(), eq(true));
    expect_that!(wait_until("never", short, || false).is_err(), eq(true));
    Ok(())
}

/// Guards against subcommands that do not work together as in the demonstration script: fault
/// switches set by `call`, a load run with histories, and the check of these histories.
#[gtest]
fn the_subcommands_work_together() -> Result<()> {
    let dir = std::env::temp_dir().join(format!("standin-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let file = |name: &str| dir.join(name).display().to_string();
    let (target_history, load_history) = (file("target"), file("load"));
    let mut target = start_standin(&["target", "--work-us", "100", "--history", &target_history])?;
    let (address, control) = printed_addresses(&target)?;
    let route = format!("direct={address}");
    let load = [
        "load",
        "--to",
        &route,
        "--rate",
        "200",
        "--duration-ms",
        "200",
    ];
    let load = [
        &load[..],
        &[
            "--history",
            &load_history,
            "--json",
            "--kind",
            "method=POST,body=9",
        ],
    ];
    let run_to_exit = |args: &[&str]| -> Result<(Option<i32>, String)> {
        let mut process = start_standin(args)?;
        let status = process.wait_exit(TIMEOUT)?;
        // The output is read by another thread and may arrive after the exit status.
        std::thread::sleep(Duration::from_millis(50));
        Ok((status.code(), process.lines().join("\n")))
    };

    let (code, lines) = run_to_exit(&load.concat())?;
    verify_that!(code, some(eq(0)))?;
    verify_that!(lines, contains_substring("\"correct_share\": 1.0"))?;
    let (code, lines) = run_to_exit(&["check", &target_history, &load_history])?;
    verify_that!(lines, starts_with("no rule broken"))?;
    verify_that!(code, some(eq(0)))?;

    // Without the history of the target, no record says that answered requests ended.
    let (code, lines) = run_to_exit(&["check", &load_history])?;
    verify_that!(lines, starts_with("AnsweredNotEnded"))?;
    verify_that!(code, some(eq(1)))?;

    let url = format!("http://{control}/faults");
    verify_that!(
        run_to_exit(&["call", "PUT", &url, "{\"leaving\":true}"])?.0,
        some(eq(0))
    )?;
    verify_that!(
        run_to_exit(&["call", "PUT", &url, "{\"no\":1}"])?.0,
        some(eq(1))
    )?;
    verify_that!(
        run_to_exit(&["call", "GET", &url])?.1,
        contains_substring("\"leaving\":true")
    )?;
    verify_that!(target.terminate(TIMEOUT)?.code(), some(eq(0)))?;
    Ok(std::fs::remove_dir_all(&dir)?)
}
