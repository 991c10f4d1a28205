//! Measures the overhead of daemons per request and the effect of faults on callers.
//!
//! Runner stand-ins run inside this process, daemons as separate processes. A
//! [`CallerLoad`](caller_load::CallerLoad) calls the runners directly, then through one daemon,
//! then through three. Last, a daemon is killed and a zone is taken out of service under load.
//! With the argument `throttling` it measures instead requests on machines that also run batch
//! tasks, with throttling and without.
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
mod process_cpu_time;
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
        let (before_ms, bytes_before) = (fleet.cpu_time_ms(), fleet.link_bytes());
        let records = load.run(LOAD_TIME);
        let used_ms = fleet.cpu_time_ms() - before_ms;
        let link_bytes = fleet.link_bytes() - bytes_before;
        println!(
            "daemons {daemons}: {}; {link_bytes} bytes over the link",
            LoadSummary::new(callers, &records, used_ms)
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
        fault.inject(&mut fleet);
        running.join().expect("no caller panics")
    });
    println!(
        "{fault:?}: {}",
        FaultSummary::new(FAULT_CALLERS, &records, FAULT_AFTER)
    );
}
