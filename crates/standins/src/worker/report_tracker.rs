//! Tracks which attempts have changed since earlier reports.

use std::collections::VecDeque;

use crate::worker::forgotten_row::ForgottenRow;
use crate::worker::reported_row::ReportedRow;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::worker::AttemptName;
use sapphirestile_wire::worker::TaskReport;

/// The maximum number of forgotten attempts that are kept to report them.
const FORGOTTEN_MAX: usize = 1_024;

/// The last reported state of each attempt, and the number of the report in which it last
/// changed. This is enough to find the changes since any earlier report without a copy of that
/// report, whether or not the responses in between were received.
///
/// Reports are numbered by the permits that are issued with them, so that numbers only
/// increase.
///
/// # Examples
///
/// ```
/// use sapphirestile_standins::worker::ReportTracker;
/// use sapphirestile_wire::worker::TaskReport;
///
/// let mut tracker = ReportTracker::default();
/// tracker.update(7, Vec::new(), TaskReport::is_outdated_by);
/// assert!(tracker.covers(7));
/// assert!(tracker.changed_since(7).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReportTracker {
    rows: SortedTable<AttemptName, ReportedRow>,
    /// Attempts that are no longer reported, the earliest first.
    forgotten: VecDeque<ForgottenRow>,
    /// The report number of the last dropped element of `forgotten`: changes since an earlier
    /// report are not fully known.
    oldest_base: u64,
}

impl ReportTracker {
    /// Updates the rows to the attempts' current `reports`, for the report numbered `permit`.
    /// `outdated` is called with the last reported and the current state of an attempt; when it
    /// returns `false`, the last reported one is kept.
    pub fn update(
        &mut self,
        permit: u64,
        reports: Vec<TaskReport>,
        outdated: impl Fn(&TaskReport, &TaskReport) -> bool,
    ) {
        let earlier = std::mem::take(&mut self.rows);
        let rows = reports.into_iter().map(|report| {
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
        self.rows = rows.collect();
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
            self.drop_oldest();
        }
    }

    /// Drops the forgotten attempts that are already missing in the report `known`, which the
    /// owner has received.
    pub fn acknowledge(&mut self, known: u64) {
        while self.forgotten.front().is_some_and(|row| row.since <= known) {
            self.drop_oldest();
        }
    }

    /// Whether all changes since the report `known` are known.
    #[must_use]
    pub const fn covers(&self, known: u64) -> bool {
        self.oldest_base <= known
    }

    /// The last reported state of every attempt.
    #[must_use]
    pub fn all(&self) -> Vec<TaskReport> {
        let rows = self.rows.values();
        rows.map(|row| row.report.clone()).collect()
    }

    /// The attempts that are new or have changed since the report `known`.
    #[must_use]
    pub fn changed_since(&self, known: u64) -> Vec<TaskReport> {
        let rows = self.rows.values();
        let changed = rows.filter(|row| row.changed > known);
        changed.map(|row| row.report.clone()).collect()
    }

    /// The attempts that were forgotten since the report `known`.
    #[must_use]
    pub fn forgotten_since(&self, known: u64) -> Vec<AttemptName> {
        let rows = self.forgotten.iter();
        let gone = rows.filter(|row| row.since > known);
        gone.map(|row| row.name.clone()).collect()
    }

    /// The number of reported attempts.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.rows.len()).unwrap_or(u32::MAX)
    }

    fn drop_oldest(&mut self) {
        if let Some(row) = self.forgotten.pop_front() {
            self.oldest_base = row.since;
        }
    }
}

fn name_of(report: &TaskReport) -> AttemptName {
    AttemptName {
        task: report.task.clone(),
        attempt: report.attempt,
    }
}
