//! What the tool writes.
//!
//! A [`CommandOutput`] writes results to the standard output, as JSON or as
//! [`TextTable`]s, and failures and progress to the standard error.

mod command_output;
mod text_table;

pub use command_output::CommandOutput;
pub use text_table::TextTable;
pub(crate) use text_table::printable;
