//! Failures with daemons as real processes, each a scene of its own.

mod killed_owner;
mod lost_answers;
mod once_only;
mod planned_stop;
mod slot_bound;
mod store_outage;
mod support;
mod thawed_owner;
mod zone_out;
