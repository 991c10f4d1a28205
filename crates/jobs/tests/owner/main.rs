//! Step-by-step tests of a job owner, with simulated workers, advisor and store.

mod advice;
mod batches;
mod breaker;
mod copies_and_gangs;
mod cut_responses;
mod incarnations;
mod learning;
mod lease_bounds;
mod lease_bounds_of_restarted_workers;
mod leases_and_restarts;
mod moves;
mod odd_responses;
mod overdue_jobs;
mod owner_fixture;
mod pacing;
mod placement;
mod restart_precedence;
mod restarts;
mod restored_jobs;
mod starts_and_stops;
mod stragglers;
mod test_values;
mod transfers;
mod urgency;
mod wait_ends;
mod waiting_reports;
