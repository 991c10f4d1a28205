//! What a keeper does after each event.

use crate::cells::CellKeeper;
use crate::cells::EntryTally;
use crate::cells::JournalBatch;
use crate::cells::ShareCall;
use crate::cells::WorkerCall;
use crate::cells::WorkerReach;
use crate::context::MonoClock;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_core::WorkerName;

const COMMIT_INTERVAL_MS: u64 = 250;
const SNAPSHOT_ENTRIES: u64 = 64;
const MILLIS_PER_SECOND: u64 = 1_000;
const STARTS_MAX: usize = 200;

impl CellKeeper {
    pub(super) fn step(&mut self) {
        self.refresh_workers();
        if !self.stopping {
            self.renew_sessions();
            self.report_shares();
        }
        self.press();
        self.send_stops();
        if self.commit_due() {
            self.plan();
            self.commit();
        }
    }

    fn refresh_workers(&mut self) {
        let document = self.context.document.load();
        let vms = self.context.vms.load();
        let Some(read) = vms.read() else { return };
        if self.listed == Some(read) && self.revision == document.revision() {
            return;
        }
        let Some(map) = self.context.cell_map() else {
            return;
        };
        let cell = self.owner.cell();
        let facts = vms.workers(document.document(), |worker| {
            map.cell_of_worker(worker) == cell
        });
        self.owner.set_workers(&facts, read);
        self.owner.set_cells(map);
        self.owner.set_customers(&document.document().customers);
        self.set_pressure(&document.document().colocation);
        self.revision = document.revision();
        self.listed = Some(read);
    }

    fn renew_sessions(&mut self) {
        let now = self.context.clock.now();
        for order in self.owner.due_sessions(now) {
            self.call_worker(CellEffect::Session(order));
        }
    }

    fn report_shares(&mut self) {
        let now = self.context.clock.now();
        for order in self.owner.due_share_reports(now) {
            let events = self.answers.clone();
            self.shares.call(ShareCall { order, events });
        }
    }

    fn send_stops(&mut self) {
        for order in self.owner.due_stops() {
            self.call_worker(CellEffect::Stop(order));
        }
    }

    /// Commits at once after a pause, and a few times a second under load.
    fn commit_due(&self) -> bool {
        let rested = self.context.clock.now().millis_since(self.committed) >= COMMIT_INTERVAL_MS;
        rested && !self.owner.has_entry_in_flight()
    }

    /// Assigns tasks, a few times a second. The batch is taken in the same step,
    /// so that its guard is the configuration that the assignments were made with.
    fn plan(&mut self) {
        let now = self.context.clock.now();
        let moved = self.beaten == Some(self.revision);
        let rested = now.millis_since(self.planned) >= COMMIT_INTERVAL_MS;
        if !self.stopping && !moved && rested && self.owner.has_waiting() {
            self.planned = now;
            self.owner.plan_starts(now, STARTS_MAX);
        }
    }

    fn commit(&mut self) {
        let revision = self.revision;
        let unix_s = MonoClock::unix_millis() / MILLIS_PER_SECOND;
        self.owner.forget_old(self.context.clock.now(), unix_s);
        let snapshot_due = self.owner.snapshot_due(SNAPSHOT_ENTRIES);
        let Some(entry) = self.owner.take_batch(rand::random()).cloned() else {
            return;
        };
        let snapshot = snapshot_due.then(|| self.owner.snapshot_in_flight());
        let revision = starts_tasks(&entry).then_some(revision);
        self.guarded = revision;
        self.tally = EntryTally::of(&entry);
        // The writer ends only after it has reported that the owner is deposed.
        let _queued = self.batches.send(JournalBatch {
            entry,
            revision,
            snapshot,
        });
    }

    pub(super) fn call_worker(&mut self, effect: CellEffect) {
        let worker = worker_of(&effect).clone();
        let address = self.context.vms.load().address_of(worker.as_str());
        match (address, &effect) {
            (Some(address), _) => {
                let (cell, events) = (self.owner.cell(), self.answers.clone());
                let reach = self.reach_of(worker.as_str());
                self.pool.call(WorkerCall {
                    cell,
                    address,
                    reach,
                    effect,
                    events,
                });
            }
            (None, CellEffect::Session(order)) => {
                self.owner.session_lost(worker.as_str(), order.ordinal);
            }
            (None, CellEffect::Start(_)) => self.owner.start_answered(worker.as_str()),
            // The next report shows that it is still to be asked for.
            (None, CellEffect::Stop(_) | CellEffect::Throttle(_)) => {}
        }
    }

    fn reach_of(&self, worker: &str) -> WorkerReach {
        if self.owner.is_silent(worker) {
            WorkerReach::Silent
        } else {
            WorkerReach::Reachable
        }
    }
}

fn starts_tasks(entry: &JournalEntry) -> bool {
    let EntryBody::Batch(transitions) = &entry.body else {
        return false;
    };
    transitions
        .iter()
        .any(|change| matches!(change, CellTransition::TaskAssigned { .. }))
}

const fn worker_of(effect: &CellEffect) -> &WorkerName {
    match effect {
        CellEffect::Session(order) => &order.worker,
        CellEffect::Start(order) => &order.worker,
        CellEffect::Stop(order) => &order.worker,
        CellEffect::Throttle(order) => &order.worker,
    }
}
