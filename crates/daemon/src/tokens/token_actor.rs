//! The actor that owns the daemon's tokens.

mod drain_steps;
mod ledger_steps;
mod rebalance_steps;

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::TryRecvError;
use crossbeam::channel::select;
use crossbeam::channel::tick;
use tracing::error;

use crate::context::DaemonContext;
use crate::tokens::AbsenceProofs;
use crate::tokens::PeerReports;
use crate::tokens::TokenEvent;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::ServiceName;
use sapphirestile_core::SortedTable;
use sapphirestile_slots::ApplyOutcome;
use sapphirestile_slots::ClosedReport;
use sapphirestile_slots::DemandMeter;
use sapphirestile_slots::PageCursor;
use sapphirestile_slots::TokenHolder;

const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Owns the daemon's [`TokenHolder`], on a thread of its own.
///
/// The holder exists once the daemon is a member of the ledger; before that the daemon
/// holds no tokens.
pub struct TokenActor {
    context: Arc<DaemonContext>,
    socket: UdpSocket,
    holder: Option<TokenHolder>,
    proofs: AbsenceProofs,
    reports: PeerReports,
    demand: SortedTable<ServiceName, DemandMeter>,
    /// Number of datagrams sent so far; numbers the next one.
    sent: u64,
    /// For each peer, which page of the handover counters to resend next.
    pages: SortedTable<DaemonIdentity, PageCursor>,
    /// While draining: the channel that is notified when the drain is complete, and the
    /// number of rounds in which all counters were sent to the peers. `None` otherwise.
    draining: Option<(Sender<()>, u32)>,
}

impl TokenActor {
    /// Creates an actor that sends datagrams to peers through `socket`.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>, socket: UdpSocket) -> Self {
        Self {
            context,
            socket,
            holder: None,
            proofs: AbsenceProofs::default(),
            reports: PeerReports::default(),
            demand: SortedTable::new(),
            sent: 0,
            pages: SortedTable::new(),
            draining: None,
        }
    }

    /// Handles events, and rebalances tokens every 250 ms, until `stop` or `events` is
    /// closed. Blocks the calling thread.
    pub fn run(mut self, events: &Receiver<TokenEvent>, stop: &Receiver<()>) {
        let ticks = tick(STEP_INTERVAL);
        while stop.try_recv() != Err(TryRecvError::Disconnected) {
            select! {
                recv(events) -> event => match event {
                    Ok(event) => self.handle(event),
                    Err(_) => return,
                },
                recv(ticks) -> _ => self.step(),
            }
        }
    }

    fn handle(&mut self, event: TokenEvent) {
        let now = self.context.clock.now();
        match event {
            TokenEvent::Handover(message) => {
                if let Some(holder) = &mut self.holder {
                    holder.receive(&message, &self.context.gauges);
                }
            }
            TokenEvent::Reported(peer, report) => self.reports.record(peer, report, now),
            TokenEvent::Drain(reply) => self.begin_drain(reply),
            TokenEvent::CloseMember(gone, reply) => self.close_member(&gone, &reply),
        }
    }

    fn close_member(&mut self, gone: &DaemonIdentity, reply: &Sender<ClosedReport>) {
        if let Some(holder) = &mut self.holder {
            // The caller may have stopped waiting.
            let _sent = reply.send(holder.close(gone));
        }
    }

    fn step(&mut self) {
        self.follow_ledger();
        if let Some(holder) = &mut self.holder {
            holder.publish_due_tokens(self.context.clock.now(), &self.context.gauges);
        }
        if self.draining.is_some() {
            self.drain();
        } else {
            self.change_ledger();
            self.rebalance();
        }
    }

    /// Creates the holder once this daemon is a member of the ledger, and applies each new
    /// generation of the ledger to it.
    fn follow_ledger(&mut self) {
        let context = Arc::clone(&self.context);
        let row = context.ledger.load();
        let now = context.clock.now();
        match &mut self.holder {
            None if row.ledger.has_member(&context.identity) => {
                let request_max_ms = context.settings.limits.request_max_ms;
                let identity = &context.identity;
                let gauges = &context.gauges;
                let holder = TokenHolder::new(identity, &row.ledger, request_max_ms, now, gauges);
                self.holder = Some(holder);
            }
            None => {}
            Some(holder) => {
                let outcome = holder.apply(&row.ledger, now, &context.gauges);
                exit_if_removed(outcome);
            }
        }
    }
}

/// Ends the process when this incarnation was removed from the ledger. It holds no tokens
/// and gets none; the member that proved it gone has already given up its requests.
fn exit_if_removed(outcome: ApplyOutcome) {
    if outcome == ApplyOutcome::Removed {
        error!(
            step = "follow ledger",
            "this incarnation was removed from the ledger; exiting"
        );
        std::process::exit(1);
    }
}
