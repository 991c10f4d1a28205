//! Changes of the ledger.

use std::sync::Arc;

use tracing::debug;

use crate::members::MemberRegistration;
use crate::peers::PeerClient;
use crate::tokens::LedgerRow;
use crate::tokens::LedgerWriter;
use crate::tokens::TokenKeeper;
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

impl TokenKeeper {
    /// Makes at most one change of the ledger.
    pub(super) fn change_ledger(&mut self) {
        let row = self.context.ledger.load_full();
        if let Some(next) = self.next_ledger(&row) {
            LedgerWriter::new(&self.context).write(&row, &next);
        }
    }

    fn next_ledger(&mut self, row: &LedgerRow) -> Option<TokenLedger> {
        let known = self.context.cell_map().is_some() && self.context.vms.load().read().is_some();
        if self.context.phase.get() != MemberState::Serving || !known {
            return None;
        }
        let ledger = &row.ledger;
        if !ledger.has_member(&self.context.identity) {
            let mut draft = ledger.draft();
            draft.add_member(&self.context.identity);
            return Some(draft.finish());
        }
        if let Some(next) = self.retired(ledger) {
            return Some(next);
        }
        if !self.is_first_member(ledger) {
            return None;
        }
        self.note_vm_list(ledger);
        let next = self.reclaimed(row).or_else(|| self.resized(ledger));
        if next.is_none() {
            self.remove_registration(ledger);
        }
        next
    }

    /// One member makes the changes that concern all, so that the others need not
    /// race it. Which one it is does not matter to what is right.
    fn is_first_member(&self, ledger: &TokenLedger) -> bool {
        let now = self.context.clock.now();
        let suspect_ms = self.context.settings.limits.suspect_ms;
        let members = self.context.members.load();
        let serves = |member: &&DaemonIdentity| {
            let row = members.row(member.daemon.as_str());
            **member == self.context.identity
                || row.is_some_and(|row| {
                    row.incarnation == member.incarnation && row.serves(now, suspect_ms)
                })
        };
        ledger.members.iter().find(serves) == Some(&self.context.identity)
    }

    /// Retires tokens that are more than a runner has slots. A runner that is
    /// gone, or leaves the document, has none.
    fn retired(&mut self, ledger: &TokenLedger) -> Option<TokenLedger> {
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

    fn resized(&self, ledger: &TokenLedger) -> Option<TokenLedger> {
        let wanted = self.wanted_slots();
        let mut draft = ledger.draft();
        let mut changed = false;
        for (runner, slots) in wanted.iter() {
            let held = ledger.runners.get(runner).map_or(0, |grant| grant.slots);
            if *slots > held {
                draft.raise_slots(runner, *slots);
                changed = true;
            }
        }
        changed.then(|| draft.finish())
    }

    fn reclaimed(&mut self, row: &LedgerRow) -> Option<TokenLedger> {
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
        let reports = self.closed_reports(ledger, &gone);
        match ReclaimPlan::new(ledger, &gone, &reports) {
            Ok(plan) => Some(plan.draft().finish()),
            Err(fault) => {
                debug!(
                    step = "reclaim tokens",
                    ?fault,
                    "not all members have answered"
                );
                None
            }
        }
    }

    fn note_vm_list(&mut self, ledger: &TokenLedger) {
        let vms = self.context.vms.load();
        let members = self.context.members.load();
        let registered = members.rows().map(|(daemon, row)| DaemonIdentity {
            daemon: daemon.clone(),
            incarnation: row.incarnation,
        });
        let known: Vec<DaemonIdentity> = registered.chain(ledger.members.iter().cloned()).collect();
        let own = self.context.identity.daemon.as_str();
        self.proofs.note_list(&vms, own, &known);
    }

    /// Removes one registration of a daemon that is gone and holds no tokens, so
    /// that what every daemon watches does not grow with every VM that ever was.
    fn remove_registration(&self, ledger: &TokenLedger) {
        let vms = self.context.vms.load();
        let members = self.context.members.load();
        let holds =
            |daemon: &DaemonName| ledger.members.iter().any(|member| member.daemon == *daemon);
        let gone = members
            .rows()
            .find(|(daemon, _)| !holds(daemon) && self.proofs.is_unlisted(daemon, &vms));
        if let Some((daemon, row)) = gone {
            let registration =
                MemberRegistration::new(self.context.store.as_ref(), daemon.as_str());
            registration.remove(row.incarnation);
        }
    }

    /// Has every member that stays close its counters with those that are gone.
    fn closed_reports(
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

    /// How many slots each listed runner has by the document.
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
