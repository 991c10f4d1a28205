//! Scenes of placement.

mod choice;
mod colocation;
mod drain;
mod estimate;
mod preemption;
mod queue;
mod scene;
mod standing;
