//! Processor time and memory of processes, from the proc file system.

use std::fs;

/// Clock ticks per second of the times in the proc file system. The kernel gives them in
/// hundredths of a second on every architecture that Linux programs see.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Open file descriptors.
    pub descriptors: u64,
}

impl Usage {
    /// Reads the use of a process; zero for one that has ended.
    pub fn of(pid: u32) -> Self {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        Usage {
            cpu_s: cpu_s(&stat),
            resident_kib: resident_kib(&status),
            descriptors: descriptors as u64,
        }
    }
}

/// Returns user and system time, fields 14 and 15. The second field is a name in
/// parentheses, which may hold spaces.
fn cpu_s(stat: &str) -> f64 {
    let rest = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let ticks: f64 = rest
        .split(' ')
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}

fn resident_kib(status: &str) -> u64 {
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}
