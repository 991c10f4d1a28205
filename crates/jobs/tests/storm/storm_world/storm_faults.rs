//! What callers want, and what goes wrong.

use rand::Rng;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobOrder;
use sapphirestile_jobs::QueueTerms;
use sapphirestile_jobs::StepOrder;
use sapphirestile_jobs::TaskSize;

use crate::fake_worker::FakeWorker;
use crate::storm_daemon::StormDaemon;
use crate::storm_world::StormWorld;

use super::ATTEMPTS;
use super::DAEMONS;
use super::END;
use super::FAULTS_END;
use super::SUSPENSIONS;
use super::WAKES_CUT_MS;
use super::WORKERS;

impl StormWorld {
    pub(super) fn submit(&mut self) {
        let digits: u64 = self.random.random();
        let identity = JobIdentity::try_from(format!("{digits:016x}").as_str()).unwrap();
        let is_lasting = self.random.random_bool(0.2);
        let step = |after: Vec<u32>, tasks: u32| StepOrder {
            tasks,
            size: TaskSize {
                cpu_milli: 1_000,
                memory_mib: 100,
                accelerators: 0,
            },
            after,
            is_lasting,
            ..StepOrder::default()
        };
        let steps = if is_lasting {
            vec![step(Vec::new(), 2)]
        } else {
            vec![step(Vec::new(), 4), step(vec![0], 3)]
        };
        let order = JobOrder {
            queue: "charts".into(),
            terms: QueueTerms {
                service: "sizing".into(),
                priority: 0,
                attempts: ATTEMPTS,
            },
            text: "".into(),
            steps,
            repeat: None,
            accepted_unix_ms: self.now,
        };
        self.store.orders.insert(identity, order);
    }

    pub(super) fn cancel(&mut self) {
        let first = self.store.orders.keys().next().copied();
        self.store.cancelled.extend(first);
    }

    /// An owner is suspended for less than a lease. When it wakes it reaches neither
    /// the store nor any worker but one with a lasting task, which no other reaches.
    pub(super) fn suspend_owner(&mut self, worker: usize, length: u64) {
        let lasts = |worker: &FakeWorker| worker.running.values().any(|run| run.end > END);
        let worker = self.workers.iter().position(lasts).unwrap_or(worker);
        let mut states = self.daemons.iter();
        if states.any(|state| self.now < state.cut_until) {
            return;
        }
        let owns = |state: &StormDaemon| state.owner.is_some();
        let Some(daemon) = self.daemons.iter().position(owns) else {
            return;
        };
        let state = &mut self.daemons[daemon];
        state.asleep_until = self.now + 3_000 + length / 4;
        state.cut_until = state.asleep_until + WAKES_CUT_MS;
        self.workers[worker].reached_by = Some((daemon, state.cut_until));
    }

    pub(super) fn fault(&mut self) {
        let daemon = self.random.random_range(0..DAEMONS);
        let worker = self.random.random_range(0..WORKERS);
        let length = self.random.random_range(500..6_000);
        let kind = self.random.random_range(0..4);
        if self.faults == SUSPENSIONS && self.now < FAULTS_END {
            self.suspend_owner(worker, length);
        }
        if self.has(2) && kind == 0 {
            let state = &mut self.daemons[daemon];
            if self.now >= state.asleep_until {
                state.asleep_until = self.now + length;
            }
        }
        if self.has(2) && kind == 1 {
            let state = &mut self.daemons[daemon];
            state.owner = None;
            state.life += 1;
            state.missed.clear();
            state.asleep_until = state.asleep_until.max(self.now + 500);
        }
        if self.has(3) && kind == 2 {
            self.workers[worker].cut_until = self.now + length * 2;
        }
        if self.has(3) && kind == 3 {
            let now = self.now;
            self.workers[worker].crash(now, length);
        }
        if self.has(4) && kind <= 1 {
            self.store.away_until = self.now + length;
        }
    }
}
