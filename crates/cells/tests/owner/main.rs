//! Scenes of an owner: what it proposes, and what it asks of workers.

mod adopting;
mod committing;
mod forgetting;
mod merging;
mod owner_bench;
mod pressure;
mod reporting;
mod silent;
mod sizing;
mod urgent;
