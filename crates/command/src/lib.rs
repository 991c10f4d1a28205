//! The command-line tool `sapphirestile`.
//!
//! [`run_tool`] parses the arguments into a [`CommandLine`]: the [`GlobalOptions`]
//! that apply to every command, and one [`ToolCommand`] from [`commands`]. The
//! command calls one of the [`operations`], which send requests to the operator
//! port of a daemon through the [`client`]. It writes the result or the error
//! through [`output`] and returns an [`ExitKind`], the exit code of the process.

pub mod client;
pub mod commands;
pub mod operations;
pub mod output;

mod command_line;
mod exit_kind;
mod global_options;
mod run_tool;
mod tool_environment;

pub use command_line::CommandLine;
pub use commands::ToolCommand;
pub use exit_kind::ExitKind;
pub use global_options::GlobalOptions;
pub use run_tool::run_tool;
pub use tool_environment::ToolEnvironment;
