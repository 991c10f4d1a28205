//! The table of a deployment.

use crate::RunOutcome;
use crate::report::SeedSpread;

/// The outcomes of all policies and seeds in one deployment.
#[derive(Clone, Debug)]
pub struct OutcomeTable {
    /// The deployment.
    pub deployment: &'static str,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// For each policy its name and one outcome for each seed.
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
                let spread = SeedSpread::of(&values.collect::<Vec<_>>());
                write!(formatter, " {spread} |")?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}
