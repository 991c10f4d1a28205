//! Failures with daemons as real processes, each a scene of its own.

mod broken_runner;
mod cancel_burst;
mod colocated_tasks;
mod failing_worker;
mod killed_owner;
mod leaving_target;
mod long_outage;
mod lost_answers;
mod moving_document;
mod never_running;
mod once_only;
mod planned_stop;
mod racing_operators;
mod repeated_fault;
mod shared_quota;
mod slot_bound;
mod store_cut;
mod store_outage;
mod support;
mod thawed_owner;
mod wrong_sizes;
mod zone_out;
