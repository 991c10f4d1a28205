//! Tests of placement decisions.

mod choice;
mod colocation;
mod drain;
mod estimate;
mod health;
mod placement_fixture;
mod preemption;
mod queue;
