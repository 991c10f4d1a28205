//! What a worker has reported of its attempts.

use std::collections::VecDeque;

use crate::worker::forgotten_row::ForgottenRow;
use crate::worker::reported_row::ReportedRow;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::worker::AttemptName;
use sapphirestile_wire::worker::TaskReport;

const FORGOTTEN_MAX: usize = 1_024;

/// What a worker has reported of its attempts, and with which report each row
/// last changed. So the changes since any report can be told without a copy of
/// it, whatever became of the answers between.
///
/// # Examples
///
/// ```
/// use sapphirestile_standins::worker::ReportBook;
/// use sapphirestile_wire::worker::TaskReport;
///
/// let mut book = ReportBook::default();
/// book.update(7, Vec::new(), TaskReport::is_outdated_by);
/// assert!(book.reaches_back_to(7));
/// assert!(book.changed_since(7).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReportBook {
    rows: SortedTable<AttemptName, ReportedRow>,
    /// The earliest first.
    forgotten: VecDeque<ForgottenRow>,
    /// Rows forgotten up to this report are not known any more.
    horizon: u64,
}

impl ReportBook {
    /// Takes the attempts as they are for the report numbered `permit`. A row that
    /// is not `outdated` by its attempt stays as it was last reported.
    pub fn update(
        &mut self,
        permit: u64,
        reports: Vec<TaskReport>,
        outdated: impl Fn(&TaskReport, &TaskReport) -> bool,
    ) {
        let earlier = std::mem::take(&mut self.rows);
        let fresh = reports.into_iter().map(|report| {
            let name = name_of(&report);
            let row = match earlier.get(&name) {
                Some(row) if !outdated(&row.report, &report) => row.clone(),
                _ => ReportedRow {
                    report,
                    changed: permit,
                },
            };
            (name, row)
        });
        self.rows = fresh.collect();
        for name in earlier.keys() {
            if !self.rows.contains(name) {
                let name = name.clone();
                let row = ForgottenRow {
                    name,
                    since: permit,
                };
                self.forgotten.push_back(row);
            }
        }
        while self.forgotten.len() > FORGOTTEN_MAX {
            self.drop_earliest();
        }
    }

    /// Drops the forgotten rows that the owner of the report `known` knows of.
    pub fn confirm(&mut self, known: u64) {
        while self.forgotten.front().is_some_and(|row| row.since <= known) {
            self.drop_earliest();
        }
    }

    /// Whether the changes since the report `known` can be told.
    #[must_use]
    pub const fn reaches_back_to(&self, known: u64) -> bool {
        self.horizon <= known
    }

    /// Every row, as last reported.
    #[must_use]
    pub fn all(&self) -> Vec<TaskReport> {
        let rows = self.rows.values();
        rows.map(|row| row.report.clone()).collect()
    }

    /// The rows that are new or have changed since the report `known`.
    #[must_use]
    pub fn changed_since(&self, known: u64) -> Vec<TaskReport> {
        let rows = self.rows.values();
        let changed = rows.filter(|row| row.changed > known);
        changed.map(|row| row.report.clone()).collect()
    }

    /// The rows that were forgotten since the report `known`.
    #[must_use]
    pub fn gone_since(&self, known: u64) -> Vec<AttemptName> {
        let rows = self.forgotten.iter();
        let gone = rows.filter(|row| row.since > known);
        gone.map(|row| row.name.clone()).collect()
    }

    /// How many rows there are.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.rows.len()).unwrap_or(u32::MAX)
    }

    fn drop_earliest(&mut self) {
        if let Some(row) = self.forgotten.pop_front() {
            self.horizon = row.since;
        }
    }
}

fn name_of(report: &TaskReport) -> AttemptName {
    AttemptName {
        task: report.task.clone(),
        attempt: report.attempt,
    }
}
