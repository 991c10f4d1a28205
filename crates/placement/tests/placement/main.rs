//! Scenes of placement.

mod choice;
mod colocation;
mod drain;
mod estimate;
mod queue;
mod scene;
mod standing;
