//! The work of a cell's actor after each round of events.

use crate::cells::CellActor;
use crate::cells::EntryCounts;
use crate::cells::JournalCommit;
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
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 64;
const MILLIS_PER_SECOND: u64 = 1_000;
const STARTS_PER_COMMIT_MAX: usize = 200;

impl CellActor {
    /// Carries out everything that is due now. Nothing here waits for a response.
    pub(super) fn step(&mut self) {
        self.refresh_workers();
        if !self.stopping {
            self.renew_sessions();
            self.report_shares();
        }
        self.throttle_tasks();
        self.send_stops();
        if self.commit_due() {
            self.plan_starts();
            self.commit();
        }
    }

    /// Sets the owner's workers, customers and thresholds, when the list of VMs or the
    /// configuration has changed.
    fn refresh_workers(&mut self) {
        let document = self.context.document.load();
        let vms = self.context.vms.load();
        let Some(read_at) = vms.read_at() else { return };
        if self.vms_read_at == Some(read_at) && self.config_revision == document.revision() {
            return;
        }
        let Some(map) = self.context.cell_map() else {
            return;
        };
        let cell = self.owner.cell();
        let facts = vms.workers(document.document(), |worker| {
            map.cell_of_worker(worker) == cell
        });
        self.owner.set_workers(&facts, read_at);
        self.owner.set_cells(map);
        self.owner.set_customers(&document.document().customers);
        self.set_pressure(&document.document().colocation);
        self.config_revision = document.revision();
        self.vms_read_at = Some(read_at);
    }

    fn renew_sessions(&mut self) {
        let now = self.context.clock.now();
        for renewal in self.owner.due_sessions(now) {
            self.call_worker(CellEffect::Session(renewal));
        }
    }

    fn report_shares(&mut self) {
        let now = self.context.clock.now();
        for lender_report in self.owner.due_share_reports(now) {
            let events = self.own_events.clone();
            self.share_pool.call(ShareCall {
                lender_report,
                events,
            });
        }
    }

    fn send_stops(&mut self) {
        for request in self.owner.due_stops() {
            self.call_worker(CellEffect::Stop(request));
        }
    }

    /// Whether to commit now: at most one commit is in flight, and at least
    /// [`COMMIT_INTERVAL_MS`] pass between two commits. A change after a longer pause is
    /// committed at once.
    fn commit_due(&self) -> bool {
        let interval_over =
            self.context.clock.now().millis_since(self.committed_at) >= COMMIT_INTERVAL_MS;
        interval_over && !self.owner.has_entry_in_flight()
    }

    /// Assigns waiting tasks to workers, at most once every [`COMMIT_INTERVAL_MS`].
    ///
    /// The step commits right afterwards, so that the commit requires the configuration
    /// that the assignments were made with. While that configuration is known to be
    /// outdated, nothing is assigned.
    fn plan_starts(&mut self) {
        let now = self.context.clock.now();
        let is_outdated = self.outdated_revision == Some(self.config_revision);
        let interval_over = now.millis_since(self.planned_at) >= COMMIT_INTERVAL_MS;
        if !self.stopping && !is_outdated && interval_over && self.owner.has_waiting() {
            self.planned_at = now;
            self.owner.plan_starts(now, STARTS_PER_COMMIT_MAX);
        }
    }

    fn commit(&mut self) {
        let planned_revision = self.config_revision;
        let unix_s = MonoClock::unix_millis() / MILLIS_PER_SECOND;
        self.owner.forget_old(self.context.clock.now(), unix_s);
        let snapshot_due = self.owner.snapshot_due(SNAPSHOT_INTERVAL_ENTRIES);
        let Some(entry) = self.owner.take_batch(rand::random()).cloned() else {
            return;
        };
        let snapshot = snapshot_due.then(|| self.owner.snapshot_in_flight());
        let config_revision = starts_tasks(&entry).then_some(planned_revision);
        self.required_revision = config_revision;
        self.counts_in_flight = EntryCounts::of(&entry);
        // Sending fails only when the writer has ended, after it has reported that another
        // daemon claimed the cell.
        let _queued = self.commits.send(JournalCommit {
            entry,
            config_revision,
            snapshot,
        });
    }

    /// Queues the call to a worker that `effect` requires. A worker without an address in the
    /// list of VMs counts as one that did not respond.
    pub(super) fn call_worker(&mut self, effect: CellEffect) {
        let worker = worker_of(&effect).clone();
        let address = self.context.vms.load().address_of(worker.as_str());
        match (address, &effect) {
            (Some(address), _) => {
                let (cell, events) = (self.owner.cell(), self.own_events.clone());
                let reach = self.reach_of(worker.as_str());
                self.worker_pool.call(WorkerCall {
                    cell,
                    address,
                    reach,
                    effect,
                    events,
                });
            }
            (None, CellEffect::Session(renewal)) => {
                self.owner.session_lost(worker.as_str(), renewal.ordinal);
            }
            (None, CellEffect::Start(_)) => self.owner.start_answered(worker.as_str()),
            // No event is needed: the next report shows that the request is still due.
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

/// Whether an entry assigns a task, and so depends on the configuration.
fn starts_tasks(entry: &JournalEntry) -> bool {
    let EntryBody::Batch(transitions) = &entry.body else {
        return false;
    };
    transitions
        .iter()
        .any(|transition| matches!(transition, CellTransition::TaskAssigned { .. }))
}

const fn worker_of(effect: &CellEffect) -> &WorkerName {
    match effect {
        CellEffect::Session(request) => &request.worker,
        CellEffect::Start(request) => &request.worker,
        CellEffect::Stop(request) => &request.worker,
        CellEffect::Throttle(request) => &request.worker,
    }
}
