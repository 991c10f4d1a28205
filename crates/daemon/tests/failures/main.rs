//! Failures with daemons as real processes, each a scene of its own.

mod broken_runner;
mod killed_owner;
mod leaving_target;
mod lost_answers;
mod moving_document;
mod once_only;
mod planned_stop;
mod racing_operators;
mod repeated_fault;
mod slot_bound;
mod store_cut;
mod store_outage;
mod support;
mod thawed_owner;
mod zone_out;
