//! Output of the tool.
//!
//! A [`CommandOutput`] writes results to standard output, as JSON or as
//! [`TextTable`]s. Errors and progress go to standard error; with `--json`, the error of
//! an operation goes to standard output instead, as JSON.

mod command_output;
mod text_table;

pub use command_output::CommandOutput;
pub use text_table::TextTable;
pub(crate) use text_table::escape_control_characters;
