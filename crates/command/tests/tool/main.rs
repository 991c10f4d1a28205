//! The tool against small fake daemons.

mod answers;
mod changes;
mod fake_daemon;
mod jobs;
mod tool_scene;
mod usage;
mod views;
