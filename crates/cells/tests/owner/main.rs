//! Scenes of an owner: what it proposes, and what it asks of workers.

mod adopting;
mod committing;
mod forgetting;
mod owner_bench;
mod pressure;
mod pressure_bench;
mod reporting;
mod silent;
mod sizing;
mod urgent;
