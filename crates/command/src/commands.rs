//! The commands of the tool, one file each.
//!
//! [`ToolCommand`] has a variant for each. A command has a `parser` of its arguments
//! and a `run` method, which calls one of the [`operations`](crate::operations) and
//! writes the result. `document` and `zone` have subcommands.

mod arguments;
mod cancel_command;
mod document_apply;
mod document_command;
mod document_diff;
mod document_file;
mod document_show;
mod dump_command;
mod explain_command;
mod list_command;
mod queues_command;
mod services_command;
mod show_command;
mod status_command;
mod submit_command;
mod tool_command;
mod vms_command;
mod watch_command;
mod zone_command;
mod zones_command;

pub use cancel_command::CancelCommand;
pub use document_apply::DocumentApply;
pub use document_command::DocumentCommand;
pub use document_diff::DocumentDiff;
pub use document_show::DocumentShow;
pub use dump_command::DumpCommand;
pub use explain_command::ExplainCommand;
pub use list_command::ListCommand;
pub use queues_command::QueuesCommand;
pub use services_command::ServicesCommand;
pub use show_command::ShowCommand;
pub use status_command::StatusCommand;
pub use submit_command::SubmitCommand;
pub use tool_command::ToolCommand;
pub use vms_command::VmsCommand;
pub use watch_command::WatchCommand;
pub use zone_command::ZoneCommand;
pub use zones_command::ZonesCommand;
