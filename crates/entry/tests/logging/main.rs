//! The log while nobody reads it.

mod stalled_output;

use std::io::Write;
use std::thread;
use std::time::Duration;

use sapphirestile_entry::LogQueue;
use tracing_subscriber::fmt::MakeWriter;

use crate::stalled_output::StalledOutput;

/// More rounds than it takes to fill the queue within the budget of lines a second.
const ROUNDS: usize = 5;
const ROUND_PAUSE: Duration = Duration::from_secs(1);
const LINES_A_ROUND: usize = 700;
const TRIES_MAX: u32 = 400;
const PAUSE: Duration = Duration::from_millis(50);

fn log(queue: &LogQueue, line: &str) {
    let mut writer = queue.make_writer();
    writer.write_all(line.as_bytes()).unwrap();
}

fn log_rounds(queue: &LogQueue) {
    for _ in 0..ROUNDS {
        for _ in 0..LINES_A_ROUND {
            log(queue, "a line\n");
        }
        thread::sleep(ROUND_PAUSE);
    }
}

/// The lines that were written, and how many the log says were held back.
fn count(text: &str) -> (usize, usize) {
    let (mut written, mut held_back) = (0, 0);
    for line in text.lines() {
        match line.split_once("\"lines\":") {
            Some((_, number)) => {
                let digits = number.trim_end_matches('}');
                held_back += digits.parse::<usize>().expect("a number of lines");
            }
            None => written += 1,
        }
    }
    (written, held_back)
}

#[test]
fn a_stalled_reader_holds_nobody_up_and_no_line_is_lost_unsaid() {
    let output = StalledOutput::default();
    let queue = LogQueue::to(output.clone());
    log(&queue, "first\n");
    output.wait_until_stalled();
    let logging = queue.clone();
    let rounds = thread::spawn(move || log_rounds(&logging));
    for _ in 0..TRIES_MAX {
        if rounds.is_finished() {
            break;
        }
        thread::sleep(PAUSE);
    }
    assert!(rounds.is_finished(), "who logs waits for the reader");
    assert!(queue.held_back() > 0, "more lines than the queue holds");
    assert_eq!(output.text(), "");
    output.let_go();
    let mut logged = ROUNDS * LINES_A_ROUND + 1;
    for _ in 0..TRIES_MAX {
        log(&queue, "another\n");
        logged += 1;
        thread::sleep(PAUSE);
        let (written, held_back) = count(&output.text());
        if held_back > 0 && written + held_back == logged {
            return;
        }
    }
    panic!("{logged} lines: {:?}", count(&output.text()));
}
