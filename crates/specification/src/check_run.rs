//! Every search by name.
//!
//! [`list_cases`] gives a [`CheckCase`] for each model at each of its bounds, or
//! for each mutation, by [`BoundsName`].

mod bounds_name;
mod check_case;
mod list_cases;

pub use bounds_name::BoundsName;
pub use check_case::CheckCase;
pub use list_cases::list_cases;
