//! The command-line tool `sapphirestile`.
//!
//! [`run_tool`] parses the arguments into a [`CommandLine`]: the [`CallOptions`]
//! that every command shares and one [`ToolCommand`] of [`commands`]. A command
//! calls one of the [`operations`], which call a daemon's operator port through
//! the [`client`], and writes what came of it through [`output`]. The exit code
//! is an [`ExitKind`].

pub mod client;
pub mod commands;
pub mod operations;
pub mod output;

mod call_options;
mod command_line;
mod exit_kind;
mod run_tool;
mod tool_environment;

pub use call_options::CallOptions;
pub use command_line::CommandLine;
pub use commands::ToolCommand;
pub use exit_kind::ExitKind;
pub use run_tool::run_tool;
pub use tool_environment::ToolEnvironment;
