//! The bound on how long a job waits in a fleet that is nearly empty, in virtual time.

mod claimed_owner;
mod simulated_job;
mod simulated_run;
mod simulated_worker;
mod simulation;
mod wait_case;

use test_case::test_case;

use crate::wait_simulation::simulation::WaitSimulation;
use crate::wait_simulation::wait_case::WaitCase;

/// Seeds of each case.
const SEEDS: u64 = 40;

#[test_case(WaitCase::ExpectedInterference)]
#[test_case(WaitCase::HighLatencies)]
#[test_case(WaitCase::Gangs)]
#[test_case(WaitCase::Repeated)]
#[test_case(WaitCase::OwnersInRow)]
#[test_case(WaitCase::Moved)]
#[test_case(WaitCase::Interference)]
#[test_case(WaitCase::MuchMemory)]
fn each_job_has_something_running_a_while_after_traffic(case: WaitCase) {
    for seed in 0..SEEDS {
        WaitSimulation::new(case, seed).play();
    }
}
