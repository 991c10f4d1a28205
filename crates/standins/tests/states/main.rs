//! Scenes of the stand-ins' states, with the time passed in.

mod random_calls;
mod random_workers;
mod report_changes;
mod store_scenes;
mod vm_scenes;
mod worker_bench;
mod worker_scenes;
