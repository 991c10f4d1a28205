//! Resource usage of a process, as reported by `/proc`.

use std::fs;

const PROC_EXPECTED: &str = "/proc reports memory, threads and processor time of a running process";
/// Positions of the processor times among the fields that follow the process name in `stat`.
const USER_TIME_INDEX: usize = 11;
const KERNEL_TIME_INDEX: usize = 12;

/// Memory, threads and processor time of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
    /// Number of threads.
    pub threads: u64,
    /// User and kernel time since the process started, in hundredths of a second.
    pub cpu_ticks: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process with the id `process`, or of this one for `self`.
    ///
    /// # Panics
    ///
    /// When there is no such process, or `/proc` has another format.
    pub fn read(process: &str) -> Self {
        let status = fs::read_to_string(format!("/proc/{process}/status")).expect(PROC_EXPECTED);
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).expect(PROC_EXPECTED);
        let (_, fields) = stat.rsplit_once(')').expect(PROC_EXPECTED);
        let fields: Vec<&str> = fields.split_whitespace().collect();
        Self {
            resident_kb: status_value(&status, "VmRSS:"),
            threads: status_value(&status, "Threads:"),
            cpu_ticks: parse_number(fields[USER_TIME_INDEX])
                + parse_number(fields[KERNEL_TIME_INDEX]),
        }
    }
}

fn status_value(status: &str, key: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(key));
    let value = line.and_then(|line| line.split_whitespace().next());
    parse_number(value.expect(PROC_EXPECTED))
}

fn parse_number(text: &str) -> u64 {
    text.parse().expect(PROC_EXPECTED)
}
