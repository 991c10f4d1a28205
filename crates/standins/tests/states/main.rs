//! Tests of the stand-ins' states, to which the time is passed, and of their request parsing.

mod random_calls;
mod random_workers;
mod report_changes;
mod store_rules;
mod vm_list_lag;
mod worker_harness;
mod worker_rules;
