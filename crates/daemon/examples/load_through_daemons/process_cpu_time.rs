//! What a process has spent of the processors.

const TICK_MS: u64 = 10;
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// The time of the processors that a process has spent, in milliseconds.
pub fn process_time_ms(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The name before the last parenthesis may hold blanks.
    let fields: Vec<&str> = match text.rsplit_once(')') {
        Some((_, rest)) => rest.split_whitespace().collect(),
        None => return 0,
    };
    let ticks = |field: usize| fields[field].parse::<u64>().unwrap_or(0);
    (ticks(USER_FIELD) + ticks(SYSTEM_FIELD)) * TICK_MS
}
