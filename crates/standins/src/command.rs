//! The command line of `sapphirestile-standin`.
//!
//! [`StandinCommand`] is the parsed command line. Running it serves one stand-in until the
//! process is killed.

mod standin_command;

pub use standin_command::StandinCommand;
