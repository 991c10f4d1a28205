//! Scenes of placement.

mod choice;
mod scene;
