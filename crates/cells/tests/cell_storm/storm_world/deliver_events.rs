//! What arrives.

use crate::daemon_role::DaemonRole;
use crate::fake_commit::FakeCommit;
use crate::fake_worker::FakeWorker;
use crate::fake_worker::PERMIT_AGE_MAX_MS;
use crate::owned_cell::OwnedCell;
use crate::owner_term::OwnerTerm;
use crate::run_ledger::RunLedger;
use crate::session_answer::SessionAnswer;
use crate::store_answer::StoreAnswer;
use crate::storm_event::StormEvent;
use crate::storm_world::StormWorld;
use crate::storm_world::WORKER_SIZE;
use sapphirestile_cells::ReportView;
use sapphirestile_cells::SessionOrder;
use sapphirestile_cells::StartOrder;
use sapphirestile_core::WorkerName;

const ANSWERS_LOST_PER_S: f64 = 1.6;

impl StormWorld {
    pub(super) fn deliver(&mut self, event: StormEvent) {
        if let Some(term) = event.receiver() {
            let daemon = &self.daemons[term.daemon];
            if daemon.term != term.term {
                return;
            }
            if !daemon.acts(self.now) {
                self.queue.push(daemon.frozen_until, event);
                return;
            }
        }
        match event {
            StormEvent::Commit(term, commit) => self.arrive_at_store(term, &commit),
            StormEvent::CommitAnswer(term, nonce, answer) => {
                self.take_answer(term.daemon, nonce, answer);
            }
            StormEvent::CommitTimeout(term, nonce, tries) => {
                self.try_again(term.daemon, nonce, tries);
            }
            StormEvent::Session(term, order) => self.renew_session(term, &order),
            StormEvent::Start(daemon, order) => self.start_task(daemon, &order),
            StormEvent::Stop(daemon, order) => {
                let worker = self.reachable(daemon, &order.worker);
                let stopped = worker.is_some_and(|worker| worker.stop(&order));
                self.counts.stops += u32::from(stopped);
            }
            StormEvent::SessionAnswer(term, answer) => self.take_report(term, &answer),
            StormEvent::SessionTimeout(term, worker, ordinal) => {
                if let Some(cell) = self.owned(term) {
                    cell.owner.session_lost(worker.as_str(), ordinal);
                }
            }
            StormEvent::StartAnswer(term, worker) => {
                if let Some(cell) = self.owned(term) {
                    cell.owner.start_answered(worker.as_str());
                }
            }
        }
    }

    fn arrive_at_store(&mut self, term: OwnerTerm, commit: &FakeCommit) {
        if self.store.down {
            return;
        }
        let answer = self.store.commit(commit);
        if let StoreAnswer::Done(_) = answer {
            self.counts.commits += 1;
            let state = self.store.state();
            self.ledger.note_commit(&commit.entry, state, WORKER_SIZE);
        }
        if self.stormy && self.strikes(ANSWERS_LOST_PER_S) {
            self.counts.lost_answers += 1;
            return;
        }
        let nonce = commit.entry.nonce;
        let answer = StormEvent::CommitAnswer(term, nonce, answer);
        self.queue.push(self.now.plus_millis(10), answer);
    }

    fn renew_session(&mut self, term: OwnerTerm, order: &SessionOrder) {
        let now = self.now;
        let Some(worker) = self.reachable(term.daemon, &order.worker) else {
            return;
        };
        let Some((permit, tasks)) = worker.renew(order, now) else {
            return;
        };
        for (task, attempt) in &order.settled {
            RunLedger::check_settled(task, *attempt, self.store.state());
        }
        let answer = SessionAnswer {
            worker: order.worker.clone(),
            ordinal: order.ordinal,
            asked: now,
            permit,
            tasks,
        };
        self.send(&StormEvent::SessionAnswer(term, answer));
    }

    fn take_report(&mut self, term: OwnerTerm, answer: &SessionAnswer) {
        let Some(cell) = self.owned(term) else {
            return;
        };
        cell.owner.observe_report(&ReportView {
            worker: answer.worker.as_str(),
            ordinal: answer.ordinal,
            asked: answer.asked,
            permit: answer.permit,
            tasks: &answer.tasks,
        });
    }

    fn start_task(&mut self, daemon: usize, order: &StartOrder) {
        let now = self.now;
        let Some(worker) = self.reachable(daemon, &order.worker) else {
            return;
        };
        if !worker.start(order, now) {
            return;
        }
        let zone = worker.zone;
        self.counts.starts += 1;
        let state = self.store.state();
        self.ledger.note_start(order, state);
        self.check_places();
        if let Some(since) = self.out_since[zone] {
            let late_ms = now.millis_since(since);
            assert!(
                late_ms <= PERMIT_AGE_MAX_MS,
                "seed {}: a start {late_ms} ms after its zone went out",
                self.seed
            );
        }
    }

    pub(super) fn owned(&mut self, term: OwnerTerm) -> Option<&mut OwnedCell> {
        match &mut self.daemons[term.daemon].role {
            DaemonRole::Owning(cell) => Some(cell),
            DaemonRole::Idle | DaemonRole::Claiming(_) => None,
        }
    }

    fn reachable(&mut self, daemon: usize, name: &WorkerName) -> Option<&mut FakeWorker> {
        let now = self.now;
        let mut workers = self.workers.iter_mut();
        let worker = workers.find(|worker| worker.name == *name);
        worker.filter(|worker| worker.is_reachable(daemon, now))
    }
}
