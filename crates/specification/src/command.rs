//! The command `sapphirestile-specification check`.
//!
//! [`CheckOptions`] are read from the command line; [`run_check`] runs the
//! searches and writes what they found.

mod check_options;
mod run_check;

pub use check_options::CheckOptions;
pub use run_check::run_check;
