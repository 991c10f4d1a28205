//! The thread that owns the daemon's tokens.

mod leave_steps;
mod ledger_steps;
mod trade_steps;

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
use crate::tokens::MemberProofs;
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

const TICK: Duration = Duration::from_millis(250);

/// Owns the daemon's [`TokenHolder`].
///
/// The holder is there once the daemon is a member of the ledger; before that
/// the daemon holds no tokens.
pub struct TokenKeeper {
    context: Arc<DaemonContext>,
    socket: UdpSocket,
    holder: Option<TokenHolder>,
    proofs: MemberProofs,
    reports: PeerReports,
    demand: SortedTable<ServiceName, DemandMeter>,
    sent: u64,
    /// The counters that are repeated to each peer next.
    pages: SortedTable<DaemonIdentity, PageCursor>,
    /// Who waits until nothing is held, and how often the peers were told.
    leaving: Option<(Sender<()>, u32)>,
}

impl TokenKeeper {
    /// A keeper that sends through `socket`.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>, socket: UdpSocket) -> Self {
        Self {
            context,
            socket,
            holder: None,
            proofs: MemberProofs::default(),
            reports: PeerReports::default(),
            demand: SortedTable::new(),
            sent: 0,
            pages: SortedTable::new(),
            leaving: None,
        }
    }

    /// Keeps the tokens until `stop` is closed.
    pub fn run(mut self, events: &Receiver<TokenEvent>, stop: &Receiver<()>) {
        let ticks = tick(TICK);
        while stop.try_recv() != Err(TryRecvError::Disconnected) {
            select! {
                recv(events) -> event => match event {
                    Ok(event) => self.take(event),
                    Err(_) => return,
                },
                recv(ticks) -> _ => self.step(),
            }
        }
    }

    fn take(&mut self, event: TokenEvent) {
        let now = self.context.clock.now();
        match event {
            TokenEvent::Handover(message) => {
                if let Some(holder) = &mut self.holder {
                    holder.receive(&message, &self.context.gauges);
                }
            }
            TokenEvent::Reported(peer, report) => self.reports.note(peer, report, now),
            TokenEvent::Leave(reply) => self.begin_leaving(reply),
            TokenEvent::Close(gone, reply) => self.close(&gone, &reply),
        }
    }

    fn close(&mut self, gone: &DaemonIdentity, reply: &Sender<ClosedReport>) {
        if let Some(holder) = &mut self.holder {
            // Whoever asked may have stopped waiting.
            let _given = reply.send(holder.close(gone));
        }
    }

    fn step(&mut self) {
        self.follow_ledger();
        if let Some(holder) = &mut self.holder {
            holder.publish_due_tokens(self.context.clock.now(), &self.context.gauges);
        }
        if self.leaving.is_some() {
            self.leave();
        } else {
            self.change_ledger();
            self.trade();
        }
    }

    fn follow_ledger(&mut self) {
        let context = Arc::clone(&self.context);
        let row = context.ledger.load();
        let now = context.clock.now();
        match &mut self.holder {
            None if row.ledger.has_member(&context.identity) => {
                let longest_ms = context.settings.limits.request_max_ms;
                let identity = &context.identity;
                let gauges = &context.gauges;
                let holder = TokenHolder::new(identity, &row.ledger, longest_ms, now, gauges);
                self.holder = Some(holder);
            }
            None => {}
            Some(holder) => {
                let applied = holder.apply(&row.ledger, now, &context.gauges);
                end_if_removed(applied);
            }
        }
    }
}

/// A removed incarnation has no tokens and gets none; its requests were given up
/// by whoever proved it gone.
fn end_if_removed(applied: ApplyOutcome) {
    if applied == ApplyOutcome::Removed {
        error!(step = "follow ledger", "this incarnation was removed");
        std::process::exit(1);
    }
}
