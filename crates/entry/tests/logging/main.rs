//! Tests logging while the output is stalled.

mod shared_output;
mod stalled_output;

use std::io::Write;
use std::thread;
use std::time::Duration;

use sapphirestile_entry::LogQueue;
use tracing_subscriber::fmt::MakeWriter;

use crate::shared_output::SharedOutput;
use crate::stalled_output::StalledOutput;

/// Enough rounds to fill the queue within the rate limit.
const ROUNDS: usize = 5;
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
const LINES_PER_ROUND: usize = 700;
const LINES_BEFORE_FLUSH: usize = 100;
const POLLS_MAX: u32 = 400;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn log(queue: &LogQueue, line: &str) {
    let mut writer = queue.make_writer();
    writer.write_all(line.as_bytes()).unwrap();
}

fn log_rounds(queue: &LogQueue) {
    for _ in 0..ROUNDS {
        for _ in 0..LINES_PER_ROUND {
            log(queue, "a line\n");
        }
        thread::sleep(ROUND_INTERVAL);
    }
}

/// The number of lines written, and the number that the log reports as dropped.
fn count(text: &str) -> (usize, usize) {
    let (mut written, mut dropped) = (0, 0);
    for line in text.lines() {
        match line.split_once("\"lines\":") {
            Some((_, number)) => {
                let digits = number.trim_end_matches('}');
                dropped += digits
                    .parse::<usize>()
                    .expect("invalid number of dropped lines");
            }
            None => written += 1,
        }
    }
    (written, dropped)
}

#[test]
fn a_stalled_output_blocks_no_thread_and_dropped_lines_are_reported() {
    let output = StalledOutput::default();
    let queue = LogQueue::to(output.clone());
    log(&queue, "first\n");
    output.wait_until_stalled();
    let logging = queue.clone();
    let rounds = thread::spawn(move || log_rounds(&logging));
    for _ in 0..POLLS_MAX {
        if rounds.is_finished() {
            break;
        }
        thread::sleep(POLL_INTERVAL);
    }
    assert!(
        rounds.is_finished(),
        "logging threads are blocked by the stalled output"
    );
    assert!(
        queue.dropped_lines() > 0,
        "no line was dropped although the queue is full"
    );
    assert_eq!(output.text(), "");
    output.release();
    let mut logged = ROUNDS * LINES_PER_ROUND + 1;
    for _ in 0..POLLS_MAX {
        log(&queue, "another\n");
        logged += 1;
        thread::sleep(POLL_INTERVAL);
        let (written, dropped) = count(&output.text());
        if dropped > 0 && written + dropped == logged {
            return;
        }
    }
    panic!(
        "{logged} lines were logged, but (written, dropped) is {:?}",
        count(&output.text())
    );
}

/// A process that ended lost its last lines, which say how it ended.
#[test]
fn lines_before_a_flush_are_written_when_it_ends() {
    let output = SharedOutput::default();
    let queue = LogQueue::to(output.clone());
    for _ in 0..LINES_BEFORE_FLUSH {
        log(&queue, "a line\n");
    }
    assert!(queue.flush(Duration::from_mins(1)));
    assert_eq!(count(&output.text()), (LINES_BEFORE_FLUSH, 0));
}

/// A platform that no longer reads the log must not keep the process from ending.
#[test]
fn a_flush_of_a_stalled_output_gives_up() {
    let output = StalledOutput::default();
    let queue = LogQueue::to(output.clone());
    log(&queue, "first\n");
    output.wait_until_stalled();
    assert!(!queue.flush(Duration::from_millis(10)));
}
