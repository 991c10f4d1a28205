//! The searches that can be run by name.
//!
//! [`list_cases()`] returns the [`CheckCase`]s of a [`CaseSet`]: one for each protocol and
//! each of its bounds, or one for each mutation.

mod case_set;
mod check_case;
mod list_cases;

pub use case_set::CaseSet;
pub use check_case::CheckCase;
pub use list_cases::list_cases;
