//! Decides which cells this daemon claims and releases.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use error_stack::Report;
use tracing::info;
use tracing::warn;

use crate::cells::CellActor;
use crate::cells::CellEvent;
use crate::cells::CellHandle;
use crate::cells::CellJournal;
use crate::cells::CellPools;
use crate::cells::JournalCommit;
use crate::cells::JournalOutcome;
use crate::cells::JournalWriter;
use crate::context::DaemonContext;
use crate::context::RepeatLimiter;
use sapphirestile_cells::CellMap;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::ClaimingPhase;
use sapphirestile_cells::OwningPhase;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::StepError;
use sapphirestile_wire::peer::MemberState;

const STEP_INTERVAL: Duration = Duration::from_millis(200);
const CLAIM_ATTEMPTS_MAX: u32 = 3;
const BALANCE_INTERVAL_MS: u64 = 5_000;

/// Claims cells without an owner, rebalances cells among the daemons, and releases all
/// cells at a planned stop.
pub struct CellController {
    context: Arc<DaemonContext>,
    pools: CellPools,
    started_at: MonoTime,
    /// When this daemon last checked whether to release a cell for balance.
    balanced_at: MonoTime,
    log_limiter: RepeatLimiter,
}

impl CellController {
    /// Creates a controller whose actors use `pools`.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>, pools: CellPools) -> Self {
        let started_at = context.clock.now();
        Self {
            context,
            pools,
            started_at,
            balanced_at: started_at,
            log_limiter: RepeatLimiter::default(),
        }
    }

    /// Claims and releases cells until `stop` is closed. Blocks the calling thread.
    pub fn run(&mut self, stop: &Receiver<()>) {
        while stop.recv_timeout(STEP_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.context.clock.now();
        self.depose_superseded(now);
        match self.context.phase.get() {
            MemberState::Starting => {}
            MemberState::Serving => {
                self.claim_unowned(now);
                self.balance(now);
            }
            MemberState::Draining => self.release_all(),
        }
    }

    /// Stops the actors of cells that another daemon has claimed with a higher epoch.
    fn depose_superseded(&self, now: MonoTime) {
        let members = self.context.members.load();
        let cells = self.context.cells.load();
        let suspect_ms = self.context.settings.limits.suspect_ms;
        for (cell, handle) in cells.iter() {
            let highest = members.owner_of(*cell, now, suspect_ms);
            if highest.is_some_and(|(_, epoch)| epoch > handle.epoch) {
                let _sent = handle.events.send(CellEvent::Deposed);
            }
        }
    }

    /// Asks all actors to release their cells; repeated at each step until they have ended.
    fn release_all(&self) {
        for (_, handle) in self.context.cells.load().iter() {
            let _sent = handle.events.send(CellEvent::Stop);
        }
    }

    fn claim_unowned(&self, now: MonoTime) {
        let suspect_ms = self.context.settings.limits.suspect_ms;
        // Until then, the heartbeat of a cell's owner may not have arrived yet.
        let has_listened = now.millis_since(self.started_at) >= suspect_ms;
        if !has_listened || !self.context.store_reachable(now) {
            return;
        }
        let Some(map) = self.context.cell_map() else {
            return;
        };
        for cell in map.cells() {
            if self.is_unowned(cell, now) && self.is_preferred(map, cell, now) {
                self.claim(cell);
            }
        }
    }

    /// Every [`BALANCE_INTERVAL_MS`], releases one cell for which another serving daemon is
    /// preferred. This spreads the cells again after restarts.
    fn balance(&mut self, now: MonoTime) {
        if now.millis_since(self.balanced_at) < BALANCE_INTERVAL_MS {
            return;
        }
        self.balanced_at = now;
        let Some(map) = self.context.cell_map() else {
            return;
        };
        let cells = self.context.cells.load();
        let misplaced = cells
            .iter()
            .find(|(cell, _)| !self.is_preferred(map, **cell, now));
        if let Some((cell, handle)) = misplaced {
            info!(step = "balance cells", peer = "other daemons", %cell, "releasing a cell for which another daemon is preferred");
            let _sent = handle.events.send(CellEvent::Stop);
        }
    }

    /// Whether no daemon is known to own the cell, or the store has not answered its owner
    /// for so long that the owner cannot commit anything.
    fn is_unowned(&self, cell: CellNumber, now: MonoTime) -> bool {
        if self.context.cells.load().get(cell).is_some() {
            return false;
        }
        let suspect_ms = self.context.settings.limits.suspect_ms;
        let members = self.context.members.load();
        let Some((owner, _)) = members.owner_of(cell, now, suspect_ms) else {
            return true;
        };
        let row = members.row(owner.as_str());
        !row.is_some_and(|row| row.reaches_store(self.context.store_unreachable_after_ms()))
    }

    /// Whether this daemon is the preferred owner of the cell among the daemons that
    /// serve and reach the store.
    fn is_preferred(&self, map: CellMap, cell: CellNumber, now: MonoTime) -> bool {
        let suspect_ms = self.context.settings.limits.suspect_ms;
        let max_silent_ms = self.context.store_unreachable_after_ms();
        let own = self.context.identity.daemon.as_str();
        let members = self.context.members.load();
        let mut candidates: Vec<&str> = members
            .rows()
            .filter(|(daemon, _)| daemon.as_str() != own)
            .filter(|(_, row)| row.is_serving(now, suspect_ms) && row.reaches_store(max_silent_ms))
            .map(|(daemon, _)| daemon.as_str())
            .collect();
        candidates.push(own);
        map.preferred_owner(cell, &candidates) == Some(own)
    }

    fn claim(&self, cell: CellNumber) {
        match self.try_claim(cell) {
            Ok(Some((owner, journal))) => self.start_actor(owner, journal),
            Ok(None) => {
                info!(step = "claim cell", peer = "store", %cell, "another daemon claimed the cell first");
            }
            Err(error) => self.warn_claim_failed(cell, &error),
        }
    }

    fn warn_claim_failed(&self, cell: CellNumber, error: &Report<StepError>) {
        if let Some(repeats) = self.log_limiter.try_acquire(self.context.clock.now()) {
            warn!(
                step = "claim cell",
                peer = "store",
                %cell,
                repeats,
                ?error,
                "could not claim the cell"
            );
        }
    }

    /// Commits a claim. `None` means that another daemon wrote to the journal first.
    ///
    /// After [`CLAIM_ATTEMPTS_MAX`] attempts with an unknown outcome the claim is
    /// abandoned. This is safe even if it is in the journal: the next claim follows it.
    fn try_claim(
        &self,
        cell: CellNumber,
    ) -> Result<Option<(CellOwner<OwningPhase>, CellJournal)>, Report<StepError>> {
        let store = &self.context.store;
        let loaded = CellJournal::load(store.as_ref(), cell)?;
        let identity = self.context.identity.clone();
        let claiming = CellOwner::claim(cell, identity, loaded.state, rand::random());
        let mut journal = CellJournal::new(Arc::clone(store), cell, loaded.head_revision);
        let entry = claiming.entry().clone();
        let commit = JournalCommit {
            entry,
            config_revision: None,
            snapshot: None,
        };
        for _ in 1..CLAIM_ATTEMPTS_MAX {
            if let Ok(outcome) = journal.try_commit(&commit) {
                return Ok(finish_claim(outcome, claiming, journal));
            }
        }
        let outcome = journal.try_commit(&commit)?;
        Ok(finish_claim(outcome, claiming, journal))
    }

    fn start_actor(&self, owner: CellOwner<OwningPhase>, journal: CellJournal) {
        let (cell, epoch) = (owner.cell(), owner.epoch());
        let (sender, events) = unbounded();
        let commits = self.start_writer(journal, sender.clone());
        let handle = CellHandle {
            epoch,
            events: sender.clone(),
        };
        let pools = self.pools.clone();
        let context = Arc::clone(&self.context);
        let channel = (sender, events);
        let actor = CellActor::new(Arc::clone(&context), owner, pools, commits, channel);
        self.context.cells.update(|cells| cells.with(cell, handle));
        thread::spawn(move || {
            actor.run();
            context.cells.update(|cells| cells.without(cell));
        });
    }

    fn start_writer(
        &self,
        journal: CellJournal,
        events: Sender<CellEvent>,
    ) -> Sender<JournalCommit> {
        let (commits, queue) = unbounded();
        let writer = JournalWriter::new(Arc::clone(&self.context), journal, events);
        thread::spawn(move || writer.run(&queue));
        commits
    }
}

fn finish_claim(
    outcome: JournalOutcome,
    claiming: CellOwner<ClaimingPhase>,
    journal: CellJournal,
) -> Option<(CellOwner<OwningPhase>, CellJournal)> {
    match outcome {
        JournalOutcome::Done => Some((claiming.claimed(), journal)),
        JournalOutcome::ConfigMoved | JournalOutcome::Beaten | JournalOutcome::Deposed => None,
    }
}
