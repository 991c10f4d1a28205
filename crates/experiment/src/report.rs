//! What was measured.
//!
//! A run ends in a [`RunOutcome`]; an [`OutcomeTable`] shows the mean and the
//! spread of the outcomes of all seeds, a row for each policy.

mod outcome_table;
mod run_outcome;
mod seed_spread;

pub use outcome_table::OutcomeTable;
pub use run_outcome::RunOutcome;

pub(crate) use seed_spread::SeedSpread;
