//! The Markdown table of one deployment.

use crate::RunOutcome;
use crate::report::SeedStatistics;

/// The outcomes of all policies and seeds in one deployment; displayed as a
/// Markdown table.
#[derive(Clone, Debug)]
pub struct OutcomeTable {
    /// The deployment's name, shown above the table.
    pub deployment: &'static str,
    /// The consecutive seeds of the runs, in ascending order.
    pub seeds: Vec<u64>,
    /// The name of each policy with one outcome per seed, in the order of `seeds`.
    pub rows: Vec<(String, Vec<RunOutcome>)>,
}

impl std::fmt::Display for OutcomeTable {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (first, last) = (self.seeds.first(), self.seeds.last());
        writeln!(
            formatter,
            "{}, seeds {} to {}, mean ± standard deviation\n",
            self.deployment,
            first.copied().unwrap_or(0),
            last.copied().unwrap_or(0)
        )?;
        writeln!(
            formatter,
            "| policy | {} |",
            RunOutcome::HEADINGS.join(" | ")
        )?;
        let columns = RunOutcome::HEADINGS.len();
        writeln!(formatter, "| --- |{}", " ---: |".repeat(columns))?;
        for (name, outcomes) in &self.rows {
            write!(formatter, "| {name} |")?;
            for column in 0..columns {
                let values = outcomes.iter().map(|outcome| outcome.values()[column]);
                let statistics = SeedStatistics::from_values(&values.collect::<Vec<_>>());
                write!(formatter, " {statistics} |")?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}
