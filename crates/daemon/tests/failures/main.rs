//! Failure tests: three daemons as real processes with platform stand-ins in the test.
//!
//! Each module injects one kind of failure, through the stand-ins or by signals to the
//! daemons, and checks what callers, operators and workers see.

mod broken_runner;
mod colocated_tasks;
mod concurrent_cancellations;
mod concurrent_changes;
mod document_changes;
mod failing_worker;
mod frozen_owner;
mod killed_owner;
mod leaving_target;
mod long_outage;
mod lost_answers;
mod misdeclared_sizes;
mod non_idempotent_requests;
mod planned_stop;
mod repeated_errors;
mod shared_quota;
mod slot_limit;
mod store_outage;
mod store_partition;
mod support;
mod unplaceable_jobs;
mod zone_out;
