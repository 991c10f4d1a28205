//! Runs the tool against fake daemons.

mod document_changes;
mod fake_daemon;
mod job_commands;
mod read_commands;
mod responses;
mod tool_run;
mod usage;
