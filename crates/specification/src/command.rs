//! The command `sapphirestile-specification check`.
//!
//! [`CheckOptions`] are parsed from the command line; [`run_check()`] runs the selected
//! searches and writes their verdicts.

mod check_options;
mod run_check;

pub use check_options::CheckOptions;
pub use run_check::run_check;
