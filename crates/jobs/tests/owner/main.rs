//! Scenes of an owner: what it does, step by step.

mod advised;
mod copies_and_gangs;
mod learning;
mod leases_and_lives;
mod orders_and_stops;
mod owner_scene;
mod placing;
mod records_and_batches;
mod scene_parts;
mod trust;
mod urgency;
