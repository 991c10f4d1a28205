//! Tests of the proposals of an owner and of its requests to workers.

mod batch_commits;
mod job_retention;
mod large_tasks;
mod owner_harness;
mod ownership_changes;
mod pressure_harness;
mod report_merging;
mod share_borrowing;
mod share_harness;
mod share_lending;
mod size_learning;
mod throttling;
mod unresponsive_workers;
mod urgent_tasks;
mod worker_reports;
