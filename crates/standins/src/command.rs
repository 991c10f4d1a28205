//! The command line of `sapphirestile-standin`.
//!
//! [`StandinCommand`] is what the command line asks for; running it serves one
//! stand-in until the process is killed.

mod standin_command;

pub use standin_command::StandinCommand;
