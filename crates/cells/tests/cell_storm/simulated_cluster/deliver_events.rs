//! Delivery of events.

use crate::daemon_role::DaemonRole;
use crate::fake_commit::FakeCommit;
use crate::fake_worker::FakeWorker;
use crate::fake_worker::PERMIT_AGE_MAX_MS;
use crate::invariant_checker::InvariantChecker;
use crate::owned_cell::OwnedCell;
use crate::owner_term::OwnerTerm;
use crate::session_answer::SessionAnswer;
use crate::simulated_cluster::SimulatedCluster;
use crate::simulated_cluster::WORKER_SIZE;
use crate::simulated_event::SimulatedEvent;
use crate::store_answer::StoreAnswer;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::ReportView;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_core::WorkerName;

const LOST_ANSWERS_PER_S: f64 = 1.6;

impl SimulatedCluster {
    pub(super) fn deliver(&mut self, event: SimulatedEvent) {
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
            SimulatedEvent::Commit(term, commit) => self.handle_commit(term, &commit),
            SimulatedEvent::CommitAnswer(term, nonce, answer) => {
                self.handle_commit_answer(term.daemon, nonce, answer);
            }
            SimulatedEvent::CommitTimeout(term, nonce, attempts) => {
                self.retry_commit(term.daemon, nonce, attempts);
            }
            SimulatedEvent::Session(term, request) => self.renew_session(term, &request),
            SimulatedEvent::Start(daemon, request) => self.start_task(daemon, &request),
            SimulatedEvent::Stop(daemon, request) => {
                let worker = self.reachable(daemon, &request.worker);
                let stopped = worker.is_some_and(|worker| worker.stop(&request));
                self.counts.stops += u32::from(stopped);
            }
            SimulatedEvent::SessionAnswer(term, answer) => self.handle_report(term, &answer),
            SimulatedEvent::SessionTimeout(term, worker, ordinal) => {
                if let Some(cell) = self.owned(term) {
                    cell.owner.session_lost(worker.as_str(), ordinal);
                }
            }
            SimulatedEvent::StartAnswer(term, worker) => {
                if let Some(cell) = self.owned(term) {
                    cell.owner.start_answered(worker.as_str());
                }
            }
        }
    }

    fn handle_commit(&mut self, term: OwnerTerm, commit: &FakeCommit) {
        if self.store.down {
            return;
        }
        let answer = self.store.commit(commit);
        if let StoreAnswer::Done(_) = answer {
            self.counts.commits += 1;
            let state = self.store.state();
            self.invariants
                .check_commit(&commit.entry, state, WORKER_SIZE);
        }
        if self.injects_faults && self.occurs(LOST_ANSWERS_PER_S) {
            self.counts.lost_answers += 1;
            return;
        }
        let nonce = commit.entry.nonce;
        let answer = SimulatedEvent::CommitAnswer(term, nonce, answer);
        self.queue.push(self.now.plus_millis(10), answer);
    }

    fn renew_session(&mut self, term: OwnerTerm, request: &SessionRenewal) {
        let now = self.now;
        let Some(worker) = self.reachable(term.daemon, &request.worker) else {
            return;
        };
        let Some((permit, tasks)) = worker.renew(request, now) else {
            return;
        };
        for (task, attempt) in &request.settled {
            InvariantChecker::check_settled(task, *attempt, self.store.state());
        }
        let answer = SessionAnswer {
            worker: request.worker.clone(),
            ordinal: request.ordinal,
            asked: now,
            permit,
            tasks,
        };
        self.send(&SimulatedEvent::SessionAnswer(term, answer));
    }

    fn handle_report(&mut self, term: OwnerTerm, answer: &SessionAnswer) {
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

    fn start_task(&mut self, daemon: usize, request: &AttemptStart) {
        let now = self.now;
        let Some(worker) = self.reachable(daemon, &request.worker) else {
            return;
        };
        if !worker.start(request, now) {
            return;
        }
        let zone = worker.zone;
        self.counts.starts += 1;
        let state = self.store.state();
        self.invariants.check_start(request, state);
        self.check_single_runs();
        if let Some(since) = self.out_since[zone] {
            let late_ms = now.millis_since(since);
            assert!(
                late_ms <= PERMIT_AGE_MAX_MS,
                "seed {}: a task started {late_ms} ms after its zone was taken out",
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
