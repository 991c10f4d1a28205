//! Metrics of the runs and their table.
//!
//! Each run returns a [`RunOutcome`]. An [`OutcomeTable`] has a row for each
//! policy, with the mean and standard deviation of each metric over all seeds.

mod outcome_table;
mod run_outcome;
mod seed_statistics;

pub use outcome_table::OutcomeTable;
pub use run_outcome::RunOutcome;

pub(crate) use seed_statistics::SeedStatistics;
