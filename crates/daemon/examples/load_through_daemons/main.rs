//! Measures what daemons add to a request, and what a fault costs.
//!
//! Stand-ins of runners serve inside this process, daemons run as processes of
//! their own. A [`CallerLoad`](caller_load::CallerLoad) first calls the runners
//! directly, then through one daemon, then through three; at last a daemon is
//! killed, and a zone is taken out, under load. With the argument `throttling`
//! requests share machines with batch tasks instead, with throttling and without.
//! Build the daemon first:
//!
//! ```text
//! cargo build --release -p sapphirestile-daemon
//! cargo run --release -p sapphirestile-daemon --example load_through_daemons
//! cargo run --release -p sapphirestile-daemon --example load_through_daemons throttling
//! ```

mod batch_meter;
mod call_outcome;
mod call_record;
mod caller_load;
mod daemon_fault;
mod daemon_fleet;
mod fault_summary;
mod load_summary;
mod process_time;
mod throttle_run;

use std::time::Duration;

use crate::caller_load::CallerLoad;
use crate::daemon_fault::DaemonFault;
use crate::daemon_fleet::DaemonFleet;
use crate::fault_summary::FaultSummary;
use crate::load_summary::LoadSummary;
use crate::throttle_run::ThrottleRun;

const ROUNDS: usize = 3;
const CALLERS: [usize; 4] = [1, 8, 32, 64];
const FAULT_CALLERS: usize = 32;
const LOAD_TIME: Duration = Duration::from_secs(3);
const FAULT_LOAD_TIME: Duration = Duration::from_secs(9);
const FAULT_AFTER: Duration = Duration::from_secs(3);

fn main() {
    if std::env::args().nth(1).as_deref() == Some("throttling") {
        measure_throttling();
        return;
    }
    for round in 1..=ROUNDS {
        println!("round {round}");
        measure_loads(1);
        measure_loads(3);
        for fault in [DaemonFault::Kill, DaemonFault::ZoneOut] {
            measure_fault(fault);
        }
    }
}

fn measure_loads(daemons: usize) {
    let fleet = DaemonFleet::start(daemons);
    for callers in CALLERS {
        if daemons == 1 {
            let load = CallerLoad::new(fleet.runners(), callers);
            let records = load.run(LOAD_TIME);
            println!("direct: {}", LoadSummary::new(callers, &records, 0));
        }
        let load = CallerLoad::new(fleet.callers(), callers);
        let (before_ms, link_before) = (fleet.processor_ms(), fleet.link_bytes());
        let records = load.run(LOAD_TIME);
        let spent_ms = fleet.processor_ms() - before_ms;
        let link_bytes = fleet.link_bytes() - link_before;
        println!(
            "daemons {daemons}: {}; {link_bytes} bytes over the link",
            LoadSummary::new(callers, &records, spent_ms)
        );
    }
}

fn measure_throttling() {
    for round in 1..=ROUNDS {
        for throttle in [false, true] {
            let run = ThrottleRun::start(throttle);
            println!("round {round}, throttle = {throttle}\n  {}", run.measure());
        }
    }
}

fn measure_fault(fault: DaemonFault) {
    let mut fleet = DaemonFleet::start(3);
    let load = CallerLoad::new(fleet.callers(), FAULT_CALLERS);
    let records = std::thread::scope(|scope| {
        let running = scope.spawn(|| load.run(FAULT_LOAD_TIME));
        std::thread::sleep(FAULT_AFTER);
        fault.bring_about(&mut fleet);
        running.join().expect("the load ends")
    });
    println!(
        "{fault:?}: {}",
        FaultSummary::new(FAULT_CALLERS, &records, FAULT_AFTER)
    );
}
