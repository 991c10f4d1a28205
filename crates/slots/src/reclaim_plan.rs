//! Reclaiming the tokens of removed members.

use crate::ClosedReport;
use crate::ClosedTotal;
use crate::LedgerDraft;
use crate::ReclaimError;
use crate::RunnerGrant;
use crate::TokenLedger;
use crate::handover_counters::signed;
use crate::ledger_draft::grant_evenly;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;

/// The removal of one or more members, whose tokens are granted to the remaining ones.
///
/// The tokens held by the removed members are their grants, plus those that the
/// remaining members sent to them, minus those that the remaining members received
/// from them. Tokens exchanged among the removed members cancel out, so reports from
/// them are not needed.
#[derive(Clone, Debug)]
pub struct ReclaimPlan<'a> {
    ledger: &'a TokenLedger,
    gone: Vec<&'a DaemonIdentity>,
    reports: Vec<&'a ClosedReport>,
}

impl<'a> ReclaimPlan<'a> {
    /// Plans the removal of the members in `gone`, each of which must be proven gone.
    ///
    /// # Errors
    ///
    /// A [`ReclaimError`] if a report of a remaining member is missing, or if no
    /// member would be removed or left.
    pub fn new(
        ledger: &'a TokenLedger,
        gone: &'a [DaemonIdentity],
        reports: &'a [ClosedReport],
    ) -> Result<Self, ReclaimError> {
        let is_removed = |member: &&DaemonIdentity| gone.contains(*member);
        let removed = ledger.members.iter().filter(is_removed).collect::<Vec<_>>();
        if removed.is_empty() {
            return Err(ReclaimError::NothingToRemove);
        }
        if removed.len() == ledger.members.len() {
            return Err(ReclaimError::NobodyLeft);
        }
        let mut used = Vec::new();
        for reporter in ledger.members.iter().filter(|member| !is_removed(member)) {
            for closed in &removed {
                used.push(find_report(reports, reporter, closed)?);
            }
        }
        Ok(Self {
            ledger,
            gone: removed,
            reports: used,
        })
    }

    /// Drafts the next ledger, without the removed members.
    ///
    /// # Panics
    ///
    /// If, according to the reports, the removed members handed over more tokens than
    /// they had, or still held more than exist.
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

    fn move_tokens(
        &self,
        remaining: &[DaemonIdentity],
        runner: &RunnerName,
        grant: &mut RunnerGrant,
    ) {
        let mut reclaimed = 0;
        for member in &self.gone {
            reclaimed += grant.members.remove(*member).unwrap_or_default().net();
        }
        for report in &self.reports {
            let Some(total) = find_total(report, runner, grant) else {
                continue;
            };
            let net_received = signed(total.received) - signed(total.sent);
            let own = grant
                .members
                .get_or_insert_with(report.reporter.clone(), Default::default);
            own.base += net_received;
            reclaimed -= net_received;
        }
        let reclaimed = u32::try_from(reclaimed).unwrap_or_else(|_| {
            panic!(
                "removed members handed over more {runner} tokens than they had: {reclaimed} left"
            )
        });
        assert!(
            reclaimed <= grant.slots,
            "reclaiming {reclaimed} tokens of {runner}, but only {} exist",
            grant.slots
        );
        grant_evenly(grant, remaining, reclaimed, runner.as_str());
    }
}

fn find_report<'a>(
    reports: &'a [ClosedReport],
    reporter: &DaemonIdentity,
    closed: &DaemonIdentity,
) -> Result<&'a ClosedReport, ReclaimError> {
    let matches = |report: &&ClosedReport| report.reporter == *reporter && report.closed == *closed;
    let missing = || ReclaimError::MissingReport {
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
    let index = report
        .totals
        .binary_search_by(|total| total.runner.cmp(runner))
        .ok()?;
    let total = &report.totals[index];
    (total.created_in == grant.created_in).then_some(total)
}
