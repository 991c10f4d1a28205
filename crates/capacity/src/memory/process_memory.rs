//! What the system says of a process.

use std::fs;

const STATUS_PART: &str = "the system tells the state of a process";
/// Places of the processor times after the process's name in `stat`.
const USER_TIME_PLACE: usize = 11;
const KERNEL_TIME_PLACE: usize = 12;

/// A process's memory, threads and processor time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessMemory {
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
    /// Threads.
    pub threads: u64,
    /// Processor time since its start, in hundredths of a second.
    pub processor_ticks: u64,
}

impl ProcessMemory {
    /// What the system says of a process, by number or `self`.
    ///
    /// # Panics
    ///
    /// When there is no such process.
    pub fn read(process: &str) -> Self {
        let status = fs::read_to_string(format!("/proc/{process}/status")).expect(STATUS_PART);
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).expect(STATUS_PART);
        let (_, times) = stat.rsplit_once(')').expect(STATUS_PART);
        let times: Vec<&str> = times.split_whitespace().collect();
        Self {
            resident_kb: status_number(&status, "VmRSS:"),
            threads: status_number(&status, "Threads:"),
            processor_ticks: number(times[USER_TIME_PLACE]) + number(times[KERNEL_TIME_PLACE]),
        }
    }
}

fn status_number(status: &str, key: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(key));
    let value = line.and_then(|line| line.split_whitespace().next());
    number(value.expect(STATUS_PART))
}

fn number(text: &str) -> u64 {
    text.parse().expect(STATUS_PART)
}
