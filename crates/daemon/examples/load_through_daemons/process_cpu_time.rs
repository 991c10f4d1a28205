//! CPU time of a process.

/// Unit of the times in `/proc/PID/stat`, at 100 ticks per second.
const TICK_MS: u64 = 10;
/// Indexes of the fields after the name of the program.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// User and system CPU time of a process in milliseconds, from `/proc`; 0 when the process has
/// ended.
pub fn process_cpu_time_ms(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The name of the program, in parentheses, may contain spaces and parentheses.
    let fields: Vec<&str> = match text.rsplit_once(')') {
        Some((_, rest)) => rest.split_whitespace().collect(),
        None => return 0,
    };
    let ticks = |field: usize| fields[field].parse::<u64>().unwrap_or(0);
    (ticks(USER_FIELD) + ticks(SYSTEM_FIELD)) * TICK_MS
}
