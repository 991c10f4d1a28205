//! Tests of placement decisions.

mod choice;
mod colocation;
mod drain;
mod estimate;
mod health;
mod preemption;
mod queue;
mod scene;
