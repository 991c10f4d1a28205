//! Tokens handed from peer to peer.

use std::sync::Arc;

use tracing::debug;

use crate::tokens::MemberReport;
use crate::tokens::TokenKeeper;
use crate::tokens::TradePlan;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::SortedTable;
use sapphirestile_slots::HandoverMessage;
use sapphirestile_slots::PageCursor;
use sapphirestile_slots::TokenLedger;
use sapphirestile_wire::peer::HandoverParts;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::TokenReport;

const REPORT_AGE_MAX_MS: u64 = 2_000;
const NEWS_TOTALS_MAX: usize = 200;
/// A round through all counters takes 10 s.
const ROUND_STEPS: usize = 40;

impl TokenKeeper {
    /// Measures the demand, tells the peers, and hands over what the plan asks.
    pub(super) fn trade(&mut self) {
        let row = self.context.ledger.load_full();
        let generation = self
            .holder
            .as_ref()
            .map(sapphirestile_slots::TokenHolder::generation);
        if generation != Some(row.ledger.generation) {
            return;
        }
        self.measure_demand();
        let report = self.own_report(&row.ledger);
        // Whoever is no member takes no part in the plan.
        self.reports.retain(|peer| row.ledger.has_member(peer));
        self.pages.retain(|peer, _| row.ledger.has_member(peer));
        self.hand_over(&row.ledger, &report);
        for peer in &row.ledger.members {
            self.tell(peer, &report);
        }
    }

    fn measure_demand(&mut self) {
        let mut in_flight: SortedTable<ServiceName, u32> = SortedTable::new();
        for row in self.context.routes.load().rows() {
            *in_flight.get_or_insert_with(row.service.clone(), || 0) += row.gauge.in_flight();
        }
        for (service, count) in in_flight.iter() {
            let meter = self
                .demand
                .get_or_insert_with(service.clone(), Default::default);
            meter.observe(*count, self.context.traffic.of(service).waiting());
        }
    }

    fn own_report(&self, ledger: &TokenLedger) -> TokenReport {
        let held = |runner: &RunnerName| {
            let row = self
                .holder
                .as_ref()
                .and_then(|holder| holder.rows().get(runner));
            row.map_or(0, sapphirestile_slots::HeldTokens::published)
        };
        let weights = self
            .demand
            .iter()
            .map(|(service, meter)| (service.clone(), meter.weight()));
        TokenReport {
            generation: ledger.generation.get(),
            zone: self.context.settings.node.zone.clone(),
            weights: weights.collect(),
            tokens: ledger.runners.keys().map(held).collect(),
        }
    }

    /// Every member makes the plan from what all last reported, and carries out
    /// its own part.
    fn hand_over(&mut self, ledger: &TokenLedger, own: &TokenReport) {
        let context = Arc::clone(&self.context);
        let reports = self.fresh_reports(own);
        let Some(holder) = &mut self.holder else {
            return;
        };
        let (vms, document) = (context.vms.load(), context.document.load());
        let plan = TradePlan {
            ledger,
            reports: &reports,
            vms: &vms,
            document: document.document(),
        };
        plan.each_order_of(&context.identity, |runner, order| {
            holder.hand_over(order.to, runner, order.count, &context.gauges);
        });
    }

    /// The reports of all members, in their order. A member that has not reported
    /// lately takes no part.
    fn fresh_reports(&self, own: &TokenReport) -> Vec<MemberReport> {
        let context = &self.context;
        let now = context.clock.now();
        let fresh = self.reports.fresh(own.generation, now, REPORT_AGE_MAX_MS);
        let members = context.members.load();
        let suspect_ms = context.settings.limits.suspect_ms;
        let serves = |peer: &DaemonIdentity| {
            let row = members.row(peer.daemon.as_str());
            row.is_some_and(|row| row.serves(now, suspect_ms))
        };
        // One that drains would only have to hand back what it is given.
        let fresh = fresh.filter(|(peer, _)| serves(peer));
        let fresh = fresh.chain(Some((&context.identity, own)));
        let mut reports: Vec<MemberReport> = fresh
            .map(|(member, report)| MemberReport {
                member: member.clone(),
                report: report.clone(),
            })
            .collect();
        reports.sort_by(|left, right| left.member.cmp(&right.member));
        reports
    }

    /// Tells a peer what is held and wanted here, what was handed to it lately,
    /// and one page of all that was ever handed to it: whatever was lost comes
    /// again, page by page.
    fn tell(&mut self, peer: &DaemonIdentity, report: &TokenReport) {
        if *peer == self.context.identity {
            return;
        }
        self.send(peer, PeerDatagram::Tokens(report.clone()));
        let Some(holder) = &mut self.holder else {
            return;
        };
        let news = holder.recent_changes_to(peer, NEWS_TOTALS_MAX);
        let cursor = self
            .pages
            .get_or_insert_with(peer.clone(), || PageCursor::new(ROUND_STEPS));
        let page = cursor.next_page(holder, peer);
        for message in news.into_iter().chain(Some(page)) {
            self.send_parts(peer, message);
        }
    }

    /// Tells a peer all that was ever handed to it.
    pub(super) fn tell_everything(&mut self, peer: &DaemonIdentity) {
        if let Some(holder) = &self.holder {
            let message = holder.message_to(peer, None, usize::MAX);
            self.send_parts(peer, message);
        }
    }

    fn send_parts(&mut self, peer: &DaemonIdentity, message: HandoverMessage) {
        for part in HandoverParts::new(message) {
            self.send(peer, PeerDatagram::Handover(part));
        }
    }

    fn send(&mut self, peer: &DaemonIdentity, body: PeerDatagram) {
        let members = self.context.members.load();
        let Some(row) = members.row(peer.daemon.as_str()) else {
            return;
        };
        self.sent += 1;
        let frame = PeerFrame {
            sender: self.context.identity.daemon.clone(),
            incarnation: self.context.identity.incarnation,
            call: self.sent,
            body,
        };
        let Ok(sealed) = self.context.frame_key.seal(&frame) else {
            return;
        };
        if let Err(error) = self.socket.send_to(&sealed, row.address) {
            debug!(step = "send tokens", peer = %row.address, %error, "not sent");
        }
    }
}
