//! Resource usage of processes, read from `/proc`.

use std::fs;

/// Clock ticks per second of the times in `/proc`. On every architecture, Linux reports them in
/// hundredths of a second (`USER_HZ`) to user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time in seconds, user and system.
    pub cpu_s: f64,
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
}

impl Usage {
    /// Reads the usage of a process; all values are zero when it has ended.
    pub fn of(pid: u32) -> Self {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        Usage {
            cpu_s: parse_cpu_s(&stat),
            resident_kib: parse_resident_kib(&status),
            descriptors: descriptors as u64,
        }
    }
}

/// Returns the sum of user and system time, fields 14 and 15 of `/proc/PID/stat`. Fields are
/// counted after the closing parenthesis of the second one, the program name, because it may
/// contain spaces.
fn parse_cpu_s(stat: &str) -> f64 {
    let rest = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let ticks: f64 = rest
        .split(' ')
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}

fn parse_resident_kib(status: &str) -> u64 {
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}
