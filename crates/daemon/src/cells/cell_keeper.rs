//! The thread that owns a cell.

mod keeper_calls;
mod keeper_pressure;
mod keeper_steps;

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use tracing::info;

use crate::cells::EntryTally;
use crate::cells::JournalBatch;
use crate::cells::JournalOutcome;
use crate::cells::KeeperDump;
use crate::cells::KeeperEvent;
use crate::cells::KeeperPools;
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

const TICK: Duration = Duration::from_millis(50);

/// Owns a cell until it is deposed or told to stop.
///
/// The thread never waits for a worker or the store: calls go to the
/// [`WorkerPool`], entries to the [`crate::cells::JournalWriter`], and both
/// answer with events.
pub struct CellKeeper {
    context: Arc<DaemonContext>,
    owner: CellOwner<OwningPhase>,
    pool: WorkerPool,
    shares: SharePool,
    batches: Sender<JournalBatch>,
    events: Receiver<KeeperEvent>,
    /// Where the pool and the writer answer.
    answers: Sender<KeeperEvent>,
    replies: ReplyQueue,
    /// The configuration that the list of workers was made with.
    revision: ConfigRevision,
    /// The configuration that the entry in flight was guarded with.
    guarded: Option<ConfigRevision>,
    /// The configuration that a commit found to be no longer the latest.
    beaten: Option<ConfigRevision>,
    /// When the list of VMs that the workers were taken from was read.
    listed: Option<MonoTime>,
    /// When starts were last planned.
    planned: MonoTime,
    committed: MonoTime,
    /// What the entry in flight will have brought about.
    tally: EntryTally,
    /// The evictions counted so far.
    evictions: u64,
    /// The throttles counted so far.
    throttled: u64,
    /// The throttles in force that the metrics show.
    in_force: i64,
    /// Batches beaten by a change of the configuration.
    batches_beaten: u64,
    stopping: bool,
    deposed: bool,
    /// Whether the entry in flight is certain not to be in the journal.
    beaten_in_journal: bool,
}

impl CellKeeper {
    /// A keeper for an owner whose claim is in the journal.
    #[must_use]
    pub fn new(
        context: Arc<DaemonContext>,
        owner: CellOwner<OwningPhase>,
        pools: KeeperPools,
        batches: Sender<JournalBatch>,
        (answers, events): (Sender<KeeperEvent>, Receiver<KeeperEvent>),
    ) -> Self {
        let committed = context.clock.now();
        Self {
            context,
            owner,
            pool: pools.workers,
            shares: pools.shares,
            batches,
            events,
            answers,
            replies: ReplyQueue::default(),
            revision: ConfigRevision::default(),
            guarded: None,
            beaten: None,
            listed: None,
            planned: MonoTime::default(),
            committed,
            tally: EntryTally::default(),
            evictions: 0,
            throttled: 0,
            in_force: 0,
            batches_beaten: 0,
            stopping: false,
            deposed: false,
            beaten_in_journal: false,
        }
    }

    /// Owns the cell until it is deposed or has given the cell up.
    pub fn run(mut self) {
        let (cell, epoch) = (self.owner.cell(), self.owner.epoch());
        info!(step = "own cell", peer = "store", %cell, %epoch, "claimed");
        while !self.has_ended() {
            match self.events.recv_timeout(TICK) {
                Ok(event) => self.take_all(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            if !self.deposed {
                self.step();
            }
        }
        self.refuse_replies();
        self.forget_throttles();
        info!(step = "own cell", peer = "store", %cell, %epoch, deposed = self.deposed, "given up");
        if !self.deposed {
            self.release();
        }
    }

    fn has_ended(&self) -> bool {
        self.deposed || (self.stopping && self.owner.is_idle())
    }

    fn take_all(&mut self, first: KeeperEvent) {
        self.take(first);
        while let Ok(event) = self.events.try_recv() {
            self.take(event);
        }
    }

    fn take(&mut self, event: KeeperEvent) {
        match event {
            KeeperEvent::Called(call) => self.answer(&call),
            KeeperEvent::Reported {
                worker,
                ordinal,
                asked,
                changes,
            } => self.take_answer(&AnswerView {
                worker: worker.as_str(),
                ordinal,
                asked,
                changes: &changes,
            }),
            KeeperEvent::SessionLost {
                worker, ordinal, ..
            } => {
                self.owner.session_lost(worker.as_str(), ordinal);
            }
            KeeperEvent::StartAnswered(worker) => self.owner.start_answered(worker.as_str()),
            KeeperEvent::Slowed {
                daemon,
                call,
                received,
                rows,
            } => self.take_slowdowns(&daemon, call, received, &rows),
            KeeperEvent::SharesLent { lender, answers } => {
                let now = self.context.clock.now();
                self.owner.apply_share_answers(lender, &answers, now);
            }
            KeeperEvent::SharesLost { lender } => self.owner.share_report_lost(lender),
            KeeperEvent::Committed(outcome) => self.take_outcome(outcome),
            KeeperEvent::Deposed => self.deposed = true,
            KeeperEvent::Dump(reply) => {
                let _given = reply.send(self.dump());
            }
            KeeperEvent::Stop => self.stopping = true,
        }
    }

    fn take_answer(&mut self, answer: &AnswerView<'_>) {
        if let Err(fault) = self.owner.observe_answer(answer) {
            let peer = answer.worker;
            info!(step = "merge report", peer, %fault, "all is asked for again");
        }
    }

    fn take_outcome(&mut self, outcome: JournalOutcome) {
        let outcome = match outcome {
            JournalOutcome::Done => CommitOutcome::Done,
            JournalOutcome::ConfigMoved => {
                self.beaten = self.guarded;
                self.batches_beaten += 1;
                info!(step = "commit starts", peer = "store", cell = %self.owner.cell(), "configuration moved");
                CommitOutcome::ConfigMoved
            }
            JournalOutcome::Beaten => {
                self.beaten_in_journal = true;
                self.deposed = true;
                return;
            }
            JournalOutcome::Deposed => {
                self.deposed = true;
                return;
            }
        };
        let effects = self.owner.settle_batch(outcome);
        self.count(outcome);
        self.committed = self.context.clock.now();
        for effect in effects {
            self.call_worker(effect);
        }
        self.replies.join(self.owner.last_proposed());
        self.replies.give(self.owner.sequence());
    }

    fn dump(&self) -> KeeperDump {
        KeeperDump {
            cell: self.owner.cell(),
            state: self.owner.state().clone(),
            committing: self.owner.has_entry_in_flight(),
            decisions: self
                .owner
                .decisions()
                .records()
                .map(ToString::to_string)
                .collect(),
            beaten: self.batches_beaten,
            evictions: self.owner.evictions(),
            throttles: self.throttle_dumps(),
            pressures: self.pressures(),
        }
    }

    /// Counts what the entry in flight has brought about, once it is done.
    fn count(&mut self, outcome: CommitOutcome) {
        let tally = std::mem::take(&mut self.tally);
        let evictions = self.owner.evictions();
        let metrics = &self.context.metrics;
        metrics.evictions.inc_by(evictions - self.evictions);
        self.evictions = evictions;
        if outcome == CommitOutcome::Done {
            metrics.starts.inc_by(tally.starts);
            metrics.tasks_finished.inc_by(tally.finished);
            metrics.tasks_failed.inc_by(tally.failed);
        }
    }

    fn refuse_replies(&mut self) {
        let flight = self.owner.has_entry_in_flight() && !self.beaten_in_journal;
        let in_doubt = flight.then(|| self.owner.sequence().next());
        self.replies.refuse(in_doubt);
    }

    fn release(self) {
        let entry = self.owner.release(rand::random());
        let batch = JournalBatch {
            entry,
            revision: None,
            snapshot: None,
        };
        if self.batches.send(batch).is_ok() {
            let outcome = self
                .events
                .iter()
                .find(|event| matches!(event, KeeperEvent::Committed(_)));
            info!(step = "release cell", peer = "store", ?outcome, "released");
        }
    }
}
