//! Decides which cells this daemon claims and gives up.

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

use crate::cells::CellJournal;
use crate::cells::CellKeeper;
use crate::cells::JournalBatch;
use crate::cells::JournalOutcome;
use crate::cells::JournalWriter;
use crate::cells::KeeperEvent;
use crate::cells::KeeperHandle;
use crate::cells::KeeperPools;
use crate::context::DaemonContext;
use crate::context::LogLimiter;
use sapphirestile_cells::CellMap;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::ClaimingPhase;
use sapphirestile_cells::OwningPhase;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::StepError;
use sapphirestile_wire::peer::MemberState;

const TICK: Duration = Duration::from_millis(200);
const CLAIM_TRIES: u32 = 3;
const BALANCE_INTERVAL_MS: u64 = 5_000;

/// Claims cells that nobody owns, and gives cells up at a planned stop.
pub struct CellDirector {
    context: Arc<DaemonContext>,
    pools: KeeperPools,
    started: MonoTime,
    /// When a cell was last given up for the sake of balance.
    balanced: MonoTime,
    log_limiter: LogLimiter,
}

impl CellDirector {
    /// A director for one daemon.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>, pools: KeeperPools) -> Self {
        let started = context.clock.now();
        Self {
            context,
            pools,
            started,
            balanced: started,
            log_limiter: LogLimiter::default(),
        }
    }

    /// Directs until `stop` is closed.
    pub fn run(&mut self, stop: &Receiver<()>) {
        while stop.recv_timeout(TICK) == Err(RecvTimeoutError::Timeout) {
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.context.clock.now();
        self.depose_beaten(now);
        match self.context.phase.get() {
            MemberState::Starting => {}
            MemberState::Serving => {
                self.claim_unowned(now);
                self.balance(now);
            }
            MemberState::Draining => self.give_up_all(),
        }
    }

    /// Stops keepers of cells that another daemon has claimed since.
    fn depose_beaten(&self, now: MonoTime) {
        let members = self.context.members.load();
        let keepers = self.context.keepers.load();
        let suspect_ms = self.context.settings.limits.suspect_ms;
        for (cell, handle) in keepers.iter() {
            let highest = members.owner_of(*cell, now, suspect_ms);
            if highest.is_some_and(|(_, epoch)| epoch > handle.epoch) {
                let _told = handle.events.send(KeeperEvent::Deposed);
            }
        }
    }

    fn give_up_all(&self) {
        for (_, handle) in self.context.keepers.load().iter() {
            let _told = handle.events.send(KeeperEvent::Stop);
        }
    }

    fn claim_unowned(&self, now: MonoTime) {
        let suspect_ms = self.context.settings.limits.suspect_ms;
        let listened = now.millis_since(self.started) >= suspect_ms;
        if !listened || !self.context.store_reachable(now) {
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

    /// Gives one cell up, now and then, when another daemon comes before this one
    /// in the cell's order: after restarts the cells spread out again.
    fn balance(&mut self, now: MonoTime) {
        if now.millis_since(self.balanced) < BALANCE_INTERVAL_MS {
            return;
        }
        self.balanced = now;
        let Some(map) = self.context.cell_map() else {
            return;
        };
        let keepers = self.context.keepers.load();
        let strange = keepers
            .iter()
            .find(|(cell, _)| !self.is_preferred(map, **cell, now));
        if let Some((cell, handle)) = strange {
            info!(step = "balance cells", peer = "other daemons", %cell, "given up for another daemon");
            let _told = handle.events.send(KeeperEvent::Stop);
        }
    }

    /// Whether nobody owns the cell, or only a daemon that the store has not
    /// answered for so long that it can commit nothing.
    fn is_unowned(&self, cell: CellNumber, now: MonoTime) -> bool {
        if self.context.keepers.load().keeper(cell).is_some() {
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

    fn is_preferred(&self, map: CellMap, cell: CellNumber, now: MonoTime) -> bool {
        let suspect_ms = self.context.settings.limits.suspect_ms;
        let patience_ms = self.context.store_unreachable_after_ms();
        let own = self.context.identity.daemon.as_str();
        let members = self.context.members.load();
        let mut able: Vec<&str> = members
            .rows()
            .filter(|(daemon, _)| daemon.as_str() != own)
            .filter(|(_, row)| row.serves(now, suspect_ms) && row.reaches_store(patience_ms))
            .map(|(daemon, _)| daemon.as_str())
            .collect();
        able.push(own);
        map.preferred_owner(cell, &able) == Some(own)
    }

    fn claim(&self, cell: CellNumber) {
        match self.try_claim(cell) {
            Ok(Some((owner, journal))) => self.start_keeper(owner, journal),
            Ok(None) => {
                info!(step = "claim cell", peer = "store", %cell, "another daemon was first");
            }
            Err(error) => self.warn_unclaimed(cell, &error),
        }
    }

    fn warn_unclaimed(&self, cell: CellNumber, error: &Report<StepError>) {
        if let Some(repeats) = self.log_limiter.try_acquire(self.context.clock.now()) {
            warn!(
                step = "claim cell",
                peer = "store",
                %cell,
                repeats,
                ?error,
                "not claimed"
            );
        }
    }

    /// Commits a claim. One whose outcome stays unknown is given up: if it is in
    /// the journal all the same, it only means that the next claim comes after it.
    fn try_claim(
        &self,
        cell: CellNumber,
    ) -> Result<Option<(CellOwner<OwningPhase>, CellJournal)>, Report<StepError>> {
        let store = &self.context.store;
        let loaded = CellJournal::load(store.as_ref(), cell)?;
        let identity = self.context.identity.clone();
        let claiming = CellOwner::claim(cell, identity, loaded.state, rand::random());
        let mut journal = CellJournal::new(Arc::clone(store), cell, loaded.head);
        let entry = claiming.entry().clone();
        let batch = JournalBatch {
            entry,
            revision: None,
            snapshot: None,
        };
        for _ in 1..CLAIM_TRIES {
            if let Ok(outcome) = journal.try_commit(&batch) {
                return Ok(claimed(outcome, claiming, journal));
            }
        }
        let outcome = journal.try_commit(&batch)?;
        Ok(claimed(outcome, claiming, journal))
    }

    fn start_keeper(&self, owner: CellOwner<OwningPhase>, journal: CellJournal) {
        let (cell, epoch) = (owner.cell(), owner.epoch());
        let (answers, events) = unbounded();
        let batches = self.start_writer(journal, answers.clone());
        let handle = KeeperHandle {
            epoch,
            events: answers.clone(),
        };
        let pools = self.pools.clone();
        let context = Arc::clone(&self.context);
        let channel = (answers, events);
        let keeper = CellKeeper::new(Arc::clone(&context), owner, pools, batches, channel);
        self.context
            .keepers
            .update(|keepers| keepers.with(cell, handle));
        thread::spawn(move || {
            keeper.run();
            context.keepers.update(|keepers| keepers.without(cell));
        });
    }

    fn start_writer(
        &self,
        journal: CellJournal,
        events: Sender<KeeperEvent>,
    ) -> Sender<JournalBatch> {
        let (batches, queue) = unbounded();
        let writer = JournalWriter::new(Arc::clone(&self.context), journal, events);
        thread::spawn(move || writer.run(&queue));
        batches
    }
}

fn claimed(
    outcome: JournalOutcome,
    claiming: CellOwner<ClaimingPhase>,
    journal: CellJournal,
) -> Option<(CellOwner<OwningPhase>, CellJournal)> {
    match outcome {
        JournalOutcome::Done => Some((claiming.claimed(), journal)),
        JournalOutcome::ConfigMoved | JournalOutcome::Beaten | JournalOutcome::Deposed => None,
    }
}
