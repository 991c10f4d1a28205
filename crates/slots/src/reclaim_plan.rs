//! Granting the tokens of members that are gone to those that stay.

use crate::ClosedReport;
use crate::ClosedTotal;
use crate::LedgerDraft;
use crate::ReclaimFault;
use crate::RunnerGrant;
use crate::TokenLedger;
use crate::handover_counters::signed;
use crate::ledger_draft::spread;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;

/// The removal of one or several members at once.
///
/// What the members that go still held is what they began with, plus what those
/// that stay sent to them, less what those that stay received from them. Tokens
/// that moved among the members that go cancel out, so no report of theirs is
/// needed.
#[derive(Clone, Debug)]
pub struct ReclaimPlan<'a> {
    ledger: &'a TokenLedger,
    gone: Vec<&'a DaemonIdentity>,
    reports: Vec<&'a ClosedReport>,
}

impl<'a> ReclaimPlan<'a> {
    /// Plans the removal of the members in `gone`, each proven gone.
    ///
    /// # Errors
    ///
    /// A [`ReclaimFault`] while a report of a member that stays is missing.
    pub fn new(
        ledger: &'a TokenLedger,
        gone: &'a [DaemonIdentity],
        reports: &'a [ClosedReport],
    ) -> Result<Self, ReclaimFault> {
        let goes = |member: &&DaemonIdentity| gone.contains(*member);
        let going = ledger.members.iter().filter(goes).collect::<Vec<_>>();
        if going.is_empty() {
            return Err(ReclaimFault::NothingToRemove);
        }
        if going.len() == ledger.members.len() {
            return Err(ReclaimFault::NobodyLeft);
        }
        let mut used = Vec::new();
        for reporter in ledger.members.iter().filter(|member| !goes(member)) {
            for closed in &going {
                used.push(find_report(reports, reporter, closed)?);
            }
        }
        Ok(Self {
            ledger,
            gone: going,
            reports: used,
        })
    }

    /// The next ledger, without the members that go.
    ///
    /// # Panics
    ///
    /// When the reports say that members handed over tokens that they did not
    /// have.
    #[must_use]
    pub fn draft(&self) -> LedgerDraft {
        let mut draft = self.ledger.draft();
        let ledger = draft.ledger_mut();
        ledger.reclaims += 1;
        ledger.members.retain(|member| !self.gone.contains(&member));
        for (runner, grant) in ledger.runners.iter_mut() {
            self.move_tokens(&ledger.members, runner, grant);
        }
        draft
    }

    fn move_tokens(&self, stay: &[DaemonIdentity], runner: &RunnerName, grant: &mut RunnerGrant) {
        let mut left = 0;
        for member in &self.gone {
            left += grant.members.remove(*member).unwrap_or_default().net();
        }
        for report in &self.reports {
            let Some(total) = find_total(report, runner, grant) else {
                continue;
            };
            let kept = signed(total.received) - signed(total.sent);
            let own = grant
                .members
                .get_or_insert_with(report.reporter.clone(), Default::default);
            own.base += kept;
            left -= kept;
        }
        let left = u32::try_from(left);
        let left = left.expect("members handed over more tokens than they had");
        assert!(left <= grant.slots, "more tokens are left than exist");
        spread(grant, stay, left, runner.as_str());
    }
}

fn find_report<'a>(
    reports: &'a [ClosedReport],
    reporter: &DaemonIdentity,
    closed: &DaemonIdentity,
) -> Result<&'a ClosedReport, ReclaimFault> {
    let matches = |report: &&ClosedReport| report.reporter == *reporter && report.closed == *closed;
    let missing = || ReclaimFault::MissingReport {
        reporter: reporter.clone(),
        closed: closed.clone(),
    };
    reports.iter().find(matches).ok_or_else(missing)
}

fn find_total<'a>(
    report: &'a ClosedReport,
    runner: &RunnerName,
    grant: &RunnerGrant,
) -> Option<&'a ClosedTotal> {
    let place = report
        .totals
        .binary_search_by(|total| total.runner.cmp(runner))
        .ok()?;
    let total = &report.totals[place];
    (total.birth == grant.birth).then_some(total)
}
