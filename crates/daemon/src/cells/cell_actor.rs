//! The actor of a cell: the thread that runs its state machine.

mod actor_calls;
mod actor_steps;
mod actor_throttles;

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use tracing::info;

use crate::cells::CellDump;
use crate::cells::CellEvent;
use crate::cells::CellPools;
use crate::cells::EntryCounts;
use crate::cells::JournalCommit;
use crate::cells::JournalOutcome;
use crate::cells::ReplyQueue;
use crate::cells::SharePool;
use crate::cells::WorkerPool;
use crate::context::DaemonContext;
use sapphirestile_cells::AnswerView;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CommitOutcome;
use sapphirestile_cells::OwningPhase;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::MonoTime;

const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the [`CellOwner`] of a cell until another daemon claims the cell or this daemon
/// releases it.
///
/// The thread never waits for a worker or the store: calls go to the [`WorkerPool`] and
/// the [`SharePool`], commits to the [`crate::cells::JournalWriter`], and all of them
/// report back with events.
pub struct CellActor {
    context: Arc<DaemonContext>,
    owner: CellOwner<OwningPhase>,
    worker_pool: WorkerPool,
    share_pool: SharePool,
    commits: Sender<JournalCommit>,
    events: Receiver<CellEvent>,
    /// Sender of `events`, for the pools.
    own_events: Sender<CellEvent>,
    replies: ReplyQueue,
    /// The configuration that the owner's workers and quotas were last set from.
    config_revision: ConfigRevision,
    /// The configuration that the commit in flight requires; `None` when it starts no
    /// task.
    required_revision: Option<ConfigRevision>,
    /// The configuration that a rejected commit showed to be outdated.
    outdated_revision: Option<ConfigRevision>,
    /// When the list of VMs that the owner's workers were last set from was read.
    vms_read_at: Option<MonoTime>,
    /// When starts were last planned.
    planned_at: MonoTime,
    /// When the last commit ended.
    committed_at: MonoTime,
    /// Counts of the commit in flight, added to the metrics once it is done.
    counts_in_flight: EntryCounts,
    /// How many of the owner's evictions the metrics already include.
    counted_evictions: u64,
    /// How many of the owner's decided throttles the metrics already include.
    counted_throttles: u64,
    /// The number of throttles in force that the metrics show for this cell.
    shown_throttles: i64,
    /// Number of commits rejected because the configuration had changed.
    outdated_commits: u64,
    stopping: bool,
    /// Whether another daemon has claimed the cell.
    deposed: bool,
    /// Whether the entry in flight is certain not to be in the journal.
    entry_rejected: bool,
}

impl CellActor {
    /// Creates an actor for an owner whose claim is in the journal.
    ///
    /// `commits` goes to the cell's [`crate::cells::JournalWriter`]. The last argument is
    /// the channel of the actor's events.
    #[must_use]
    pub fn new(
        context: Arc<DaemonContext>,
        owner: CellOwner<OwningPhase>,
        pools: CellPools,
        commits: Sender<JournalCommit>,
        (own_events, events): (Sender<CellEvent>, Receiver<CellEvent>),
    ) -> Self {
        let committed_at = context.clock.now();
        Self {
            context,
            owner,
            worker_pool: pools.workers,
            share_pool: pools.shares,
            commits,
            events,
            own_events,
            replies: ReplyQueue::default(),
            config_revision: ConfigRevision::default(),
            required_revision: None,
            outdated_revision: None,
            vms_read_at: None,
            planned_at: MonoTime::default(),
            committed_at,
            counts_in_flight: EntryCounts::default(),
            counted_evictions: 0,
            counted_throttles: 0,
            shown_throttles: 0,
            outdated_commits: 0,
            stopping: false,
            deposed: false,
            entry_rejected: false,
        }
    }

    /// Handles events until another daemon has claimed the cell or it is released. Blocks
    /// the calling thread.
    pub fn run(mut self) {
        let (cell, epoch) = (self.owner.cell(), self.owner.epoch());
        info!(step = "own cell", peer = "store", %cell, %epoch, "claimed");
        while !self.has_ended() {
            match self.events.recv_timeout(STEP_INTERVAL) {
                Ok(event) => self.handle_all(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            if !self.deposed {
                self.step();
            }
        }
        self.fail_replies();
        self.remove_throttle_metrics();
        info!(step = "own cell", peer = "store", %cell, %epoch, deposed = self.deposed, "ending the ownership of the cell");
        if !self.deposed {
            self.release();
        }
    }

    fn has_ended(&self) -> bool {
        self.deposed || (self.stopping && self.owner.is_idle())
    }

    fn handle_all(&mut self, first: CellEvent) {
        self.handle(first);
        while let Ok(event) = self.events.try_recv() {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: CellEvent) {
        match event {
            CellEvent::Called(call) => self.answer(&call),
            CellEvent::Reported {
                worker,
                ordinal,
                asked,
                changes,
            } => self.observe_report(&AnswerView {
                worker: worker.as_str(),
                ordinal,
                asked,
                changes: &changes,
            }),
            CellEvent::SessionLost {
                worker, ordinal, ..
            } => {
                self.owner.session_lost(worker.as_str(), ordinal);
            }
            CellEvent::StartAnswered(worker) => self.owner.start_answered(worker.as_str()),
            CellEvent::Slowed {
                daemon,
                call,
                received,
                rows,
            } => self.observe_slowdowns(&daemon, call, received, &rows),
            CellEvent::SharesLent { lender, answers } => {
                let now = self.context.clock.now();
                self.owner.apply_share_answers(lender, &answers, now);
            }
            CellEvent::SharesLost { lender } => self.owner.share_report_lost(lender),
            CellEvent::Committed(outcome) => self.handle_outcome(outcome),
            CellEvent::Deposed => self.deposed = true,
            CellEvent::Dump(reply) => {
                let _sent = reply.send(self.dump());
            }
            CellEvent::Stop => self.stopping = true,
        }
    }

    fn observe_report(&mut self, report: &AnswerView<'_>) {
        if let Err(fault) = self.owner.observe_answer(report) {
            let peer = report.worker;
            info!(step = "merge report", peer, %fault, "cannot merge the report; requesting a full report");
        }
    }

    fn handle_outcome(&mut self, outcome: JournalOutcome) {
        let outcome = match outcome {
            JournalOutcome::Done => CommitOutcome::Done,
            JournalOutcome::ConfigMoved => {
                self.outdated_revision = self.required_revision;
                self.outdated_commits += 1;
                info!(step = "commit starts", peer = "store", cell = %self.owner.cell(), "the configuration has changed; the starts are planned again");
                CommitOutcome::ConfigMoved
            }
            JournalOutcome::Beaten => {
                self.entry_rejected = true;
                self.deposed = true;
                return;
            }
            JournalOutcome::Deposed => {
                self.deposed = true;
                return;
            }
        };
        let effects = self.owner.settle_batch(outcome);
        self.update_metrics(outcome);
        self.committed_at = self.context.clock.now();
        for effect in effects {
            self.call_worker(effect);
        }
        self.replies.limit_sequence(self.owner.last_proposed());
        self.replies.send_committed(self.owner.sequence());
    }

    fn dump(&self) -> CellDump {
        CellDump {
            cell: self.owner.cell(),
            state: self.owner.state().clone(),
            committing: self.owner.has_entry_in_flight(),
            decisions: self
                .owner
                .decisions()
                .records()
                .map(ToString::to_string)
                .collect(),
            outdated_commits: self.outdated_commits,
            evictions: self.owner.evictions(),
            throttles: self.throttle_dumps(),
            pressures: self.pressures(),
        }
    }

    /// Adds the counts of the commit that has ended to the metrics, if it is done.
    fn update_metrics(&mut self, outcome: CommitOutcome) {
        let counts = std::mem::take(&mut self.counts_in_flight);
        let evictions = self.owner.evictions();
        let metrics = &self.context.metrics;
        metrics.evictions.inc_by(evictions - self.counted_evictions);
        self.counted_evictions = evictions;
        if outcome == CommitOutcome::Done {
            metrics.starts.inc_by(counts.starts);
            metrics.tasks_finished.inc_by(counts.finished);
            metrics.tasks_failed.inc_by(counts.failed);
        }
    }

    fn fail_replies(&mut self) {
        let maybe_written = self.owner.has_entry_in_flight() && !self.entry_rejected;
        let in_doubt = maybe_written.then(|| self.owner.sequence().next());
        self.replies.fail_all(in_doubt);
    }

    fn release(self) {
        let entry = self.owner.release(rand::random());
        let commit = JournalCommit {
            entry,
            config_revision: None,
            snapshot: None,
        };
        if self.commits.send(commit).is_ok() {
            let outcome = self
                .events
                .iter()
                .find(|event| matches!(event, CellEvent::Committed(_)));
            info!(step = "release cell", peer = "store", ?outcome, "released");
        }
    }
}
