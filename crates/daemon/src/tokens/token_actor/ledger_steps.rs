//! Changes of the token ledger.

use std::sync::Arc;

use tracing::debug;

use crate::members::MemberRegistration;
use crate::peers::PeerClient;
use crate::tokens::LedgerRow;
use crate::tokens::LedgerWriter;
use crate::tokens::TokenActor;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;
use sapphirestile_slots::ClosedReport;
use sapphirestile_slots::ReclaimPlan;
use sapphirestile_slots::TokenLedger;
use sapphirestile_wire::peer::MemberState;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerRequest;
use sapphirestile_wire::vms::VmKind;

impl TokenActor {
    /// Writes at most one change of the ledger.
    pub(super) fn change_ledger(&mut self) {
        let row = self.context.ledger.load_full();
        if let Some(next) = self.next_ledger(&row) {
            LedgerWriter::new(&self.context).write(&row, &next);
        }
    }

    /// The ledger with the most urgent change: this daemon becomes a member, retires its
    /// surplus tokens, or, as the first serving member, reclaims the tokens of members that
    /// are gone or grants tokens for new slots. `None` when there is nothing to change.
    fn next_ledger(&mut self, row: &LedgerRow) -> Option<TokenLedger> {
        let is_ready =
            self.context.cell_map().is_some() && self.context.vms.load().read_at().is_some();
        if self.context.phase.get() != MemberState::Serving || !is_ready {
            return None;
        }
        let ledger = &row.ledger;
        if !ledger.has_member(&self.context.identity) {
            let mut draft = ledger.draft();
            draft.add_member(&self.context.identity);
            return Some(draft.finish());
        }
        if let Some(next) = self.retired_ledger(ledger) {
            return Some(next);
        }
        if !self.is_first_member(ledger) {
            return None;
        }
        self.record_vm_list(ledger);
        let next = self
            .reclaimed_ledger(row)
            .or_else(|| self.enlarged_ledger(ledger));
        if next.is_none() {
            self.remove_registration(ledger);
        }
        next
    }

    /// Whether this daemon is the first serving member of the ledger. Only that member makes
    /// the changes that concern all members, so that writers do not compete. Correctness
    /// does not depend on it.
    fn is_first_member(&self, ledger: &TokenLedger) -> bool {
        let now = self.context.clock.now();
        let suspect_ms = self.context.settings.limits.suspect_ms;
        let members = self.context.members.load();
        let is_serving = |member: &&DaemonIdentity| {
            let row = members.row(member.daemon.as_str());
            **member == self.context.identity
                || row.is_some_and(|row| {
                    row.incarnation == member.incarnation && row.is_serving(now, suspect_ms)
                })
        };
        ledger.members.iter().find(is_serving) == Some(&self.context.identity)
    }

    /// The ledger after this daemon retires free tokens of runners that have more tokens
    /// than slots. A runner that is no longer listed, or whose service the document no
    /// longer has, has no slots.
    fn retired_ledger(&mut self, ledger: &TokenLedger) -> Option<TokenLedger> {
        let wanted = self.wanted_slots();
        let context = Arc::clone(&self.context);
        let holder = self.holder.as_mut()?;
        if holder.generation() != ledger.generation {
            return None;
        }
        let mut reserved = 0;
        for (runner, grant) in ledger.runners.iter() {
            let slots = wanted.get(runner).copied().unwrap_or(0);
            let surplus = grant.slots.saturating_sub(slots);
            if surplus > 0 {
                reserved += holder.reserve_for_retirement(runner, surplus, &context.gauges);
            }
        }
        if reserved == 0 {
            return None;
        }
        let mut draft = holder.draft_retirement(ledger)?;
        draft.remove_empty_runners(|runner| wanted.contains(runner));
        Some(draft.finish())
    }

    /// The ledger with tokens granted for runners that have more slots than tokens. `None`
    /// when there are no such runners.
    fn enlarged_ledger(&self, ledger: &TokenLedger) -> Option<TokenLedger> {
        let wanted = self.wanted_slots();
        let mut draft = ledger.draft();
        let mut changed = false;
        for (runner, slots) in wanted.iter() {
            let granted = ledger.runners.get(runner).map_or(0, |grant| grant.slots);
            if *slots > granted {
                draft.raise_slots(runner, *slots);
                changed = true;
            }
        }
        changed.then(|| draft.finish())
    }

    /// The ledger without the members that are proven gone, their tokens granted to the
    /// others. `None` when no member is gone, or a remaining member has not closed its
    /// counters with those that are.
    fn reclaimed_ledger(&mut self, row: &LedgerRow) -> Option<TokenLedger> {
        let ledger = &row.ledger;
        let vms = self.context.vms.load_full();
        let members = self.context.members.load_full();
        let gone: Vec<DaemonIdentity> = ledger
            .members
            .iter()
            .filter(|member| **member != self.context.identity)
            .filter(|member| self.proofs.is_gone(member, row, &members, &vms))
            .cloned()
            .collect();
        if gone.is_empty() {
            return None;
        }
        let reports = self.collect_closed_reports(ledger, &gone);
        match ReclaimPlan::new(ledger, &gone, &reports) {
            Ok(plan) => Some(plan.draft().finish()),
            Err(fault) => {
                debug!(
                    step = "reclaim tokens",
                    ?fault,
                    "cannot reclaim the tokens of members that are gone yet"
                );
                None
            }
        }
    }

    /// Records which registered daemons and members of the ledger the list of VMs contains.
    fn record_vm_list(&mut self, ledger: &TokenLedger) {
        let vms = self.context.vms.load();
        let members = self.context.members.load();
        let registered = members.rows().map(|(daemon, row)| DaemonIdentity {
            daemon: daemon.clone(),
            incarnation: row.incarnation,
        });
        let daemons: Vec<DaemonIdentity> =
            registered.chain(ledger.members.iter().cloned()).collect();
        let own = self.context.identity.daemon.as_str();
        self.proofs.record_list(&vms, own, &daemons);
    }

    /// Removes the registration of one daemon that is proven gone and is no member of the
    /// ledger. Without this the rows that every daemon watches would grow with each new VM.
    fn remove_registration(&self, ledger: &TokenLedger) {
        let vms = self.context.vms.load();
        let members = self.context.members.load();
        let is_member =
            |daemon: &DaemonName| ledger.members.iter().any(|member| member.daemon == *daemon);
        let gone = members
            .rows()
            .find(|(daemon, _)| !is_member(daemon) && self.proofs.is_unlisted(daemon, &vms));
        if let Some((daemon, row)) = gone {
            let registration =
                MemberRegistration::new(self.context.store.as_ref(), daemon.as_str());
            registration.remove(row.incarnation);
        }
    }

    /// Makes every remaining member close its counters with the members that are gone, and
    /// returns the reports of those that answer. Blocks for the calls to peers.
    fn collect_closed_reports(
        &mut self,
        ledger: &TokenLedger,
        gone: &[DaemonIdentity],
    ) -> Vec<ClosedReport> {
        let mut reports = Vec::new();
        if let Some(holder) = &mut self.holder {
            reports.extend(gone.iter().map(|member| holder.close(member)));
        }
        let members = self.context.members.load_full();
        for peer in ledger.members.iter().filter(|peer| !gone.contains(peer)) {
            let Some(row) = members.row(peer.daemon.as_str()) else {
                continue;
            };
            if *peer == self.context.identity || row.incarnation != peer.incarnation {
                continue;
            }
            for member in gone {
                let request = PeerRequest::CloseMember(member.clone());
                let answer = PeerClient::new(&self.context).call(row.address, &request);
                if let PeerAnswer::Closed(report) = answer {
                    reports.push(report);
                }
            }
        }
        reports
    }

    /// The number of slots of each listed runner, as configured for its service.
    fn wanted_slots(&self) -> SortedTable<RunnerName, u32> {
        let document = self.context.document.load();
        let services = &document.document().services;
        let vms = self.context.vms.load();
        let runners = vms.records().filter(|record| record.kind == VmKind::Runner);
        runners
            .filter_map(|record| {
                let runner = RunnerName::try_from(record.name.as_str()).ok()?;
                let entry = services.get(record.service.as_ref()?)?;
                Some((runner, entry.slots))
            })
            .collect()
    }
}
