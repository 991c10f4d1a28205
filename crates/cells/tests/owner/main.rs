//! Scenes of an owner: what it proposes, and what it asks of workers.

mod adopting;
mod borrowing;
mod committing;
mod forgetting;
mod large;
mod lending;
mod merging;
mod owner_bench;
mod pressure;
mod pressure_bench;
mod reporting;
mod share_bench;
mod silent;
mod sizing;
mod urgent;
