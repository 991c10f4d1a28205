//! The scenes.

mod cancelled_run;
mod changed_kind;
mod kept_channels;
mod stale_configuration;
mod waiting_first_run;
mod zone_out;

pub use cancelled_run::cancelled_run;
pub use changed_kind::changed_kind;
pub use kept_channels::kept_channels;
pub use stale_configuration::stale_configuration;
pub use waiting_first_run::waiting_first_run;
pub use zone_out::zone_out;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use crate::caller;
use crate::record::Record;

/// How often each caller asks in a row.
const ROUNDS: usize = 8;

/// Waits until `at` seconds after the start of the record.
fn wait_until(record: &Record, at: f64) {
    let left = at - record.now();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

/// Lets `callers` callers of each daemon ask for a job's state at the same time, each a few times
/// in a row.
fn ask_at_once(targets: &[SocketAddr], callers: usize, record: &Record) {
    let barrier = Arc::new(Barrier::new(callers * targets.len()));
    let addresses = targets.iter().flat_map(|address| vec![*address; callers]);
    let askers: Vec<_> = addresses
        .map(|address| {
            let barrier = Arc::clone(&barrier);
            thread::spawn(move || {
                barrier.wait();
                let answers = (0..ROUNDS)
                    .filter_map(|_| caller::send(address, "GET", "/charts/00000000000000a0", ""));
                answers.filter(|answer| answer.0 == 200).count()
            })
        })
        .collect();
    let served: usize = askers
        .into_iter()
        .map(|asker| asker.join().unwrap_or(0))
        .sum();
    record.line(&format!(
        "{callers} callers of each daemon ask at once, {ROUNDS} times in a row: {served} get 200"
    ));
}
