//! A worker that keeps to the platform's protocol.

use std::collections::BTreeMap;

use sapphirestile_core::WorkerName;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::EndedRun;
use sapphirestile_jobs::LookAnswer;
use sapphirestile_jobs::LookOrder;
use sapphirestile_jobs::LookOutcome;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOrder;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOrder;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::TaskAddress;

/// The longest lease, in milliseconds.
const LEASE_MAX_MS: u64 = 6_000;

/// A run and the time when it ends by itself.
#[derive(Clone, Copy, Debug)]
pub struct FakeRun {
    pub run: u32,
    pub end: u64,
    pub kind: EndKind,
}

/// A worker whose clock may go slower than true time.
#[derive(Debug)]
pub struct FakeWorker {
    pub name: WorkerName,
    pub life: u64,
    pub born: u64,
    pub slowness_percent: u64,
    pub cut_until: u64,
    /// The only daemon that reaches it, and until when.
    pub reached_by: Option<(usize, u64)>,
    pub dead_until: u64,
    token: u64,
    lease_end: u64,
    pub running: BTreeMap<TaskAddress, FakeRun>,
    highest: BTreeMap<TaskAddress, u32>,
    ended: Vec<EndedRun>,
    ends: u64,
}

impl FakeWorker {
    pub fn new(name: WorkerName, slowness_percent: u64) -> Self {
        Self {
            name,
            life: 1,
            born: 0,
            slowness_percent,
            cut_until: 0,
            reached_by: None,
            dead_until: 0,
            token: 0,
            lease_end: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        let elapsed = now - self.born;
        elapsed - elapsed * self.slowness_percent / 100
    }

    /// Begins anew: it runs nothing and has seen nothing.
    pub fn crash(&mut self, now: u64, dead_ms: u64) {
        let fresh = Self::new(self.name.clone(), self.slowness_percent);
        *self = Self {
            life: self.life + 1,
            born: now,
            cut_until: self.cut_until,
            reached_by: self.reached_by,
            dead_until: now + dead_ms,
            ..fresh
        };
    }

    /// Ends what is over.
    pub fn pass_time(&mut self, now: u64) {
        let has_lapsed = self.clock(now) >= self.lease_end;
        let over: Vec<(TaskAddress, FakeRun)> = self
            .running
            .iter()
            .filter(|(_, run)| has_lapsed || run.end <= now)
            .map(|(task, run)| (*task, *run))
            .collect();
        for (task, run) in over {
            let kind = if run.end <= now {
                run.kind
            } else {
                EndKind::Lapsed
            };
            self.end(task, run.run, kind);
        }
    }

    fn end(&mut self, task: TaskAddress, run: u32, kind: EndKind) {
        self.running.remove(&task);
        let highest = self.highest.entry(task).or_default();
        *highest = (*highest).max(run);
        self.ends += 1;
        self.ended.push(EndedRun {
            number: self.ends,
            task,
            run,
            kind,
            checkpoint: "".into(),
        });
    }

    fn is_fenced(&mut self, token: u64) -> bool {
        self.token = self.token.max(token);
        token < self.token
    }

    fn extend(&mut self, end_ms: u64, now: u64) {
        let most = self.clock(now) + LEASE_MAX_MS;
        self.lease_end = self.lease_end.max(end_ms.min(most));
    }

    pub fn start(&mut self, order: &StartOrder, run: FakeRun, now: u64) -> StartOutcome {
        if self.is_fenced(order.epoch.get()) {
            return StartOutcome::Fenced;
        }
        let known = self.running.get(&order.task);
        if known.is_some_and(|known| known.run == order.run) {
            return StartOutcome::Accepted;
        }
        let highest = self.highest.get(&order.task).copied().unwrap_or(0);
        if order.run <= highest || order.lease_end_ms <= self.clock(now) {
            return StartOutcome::TooLate;
        }
        assert!(known.is_none(), "a worker is given {} twice", order.task);
        self.extend(order.lease_end_ms, now);
        self.running.insert(order.task, run);
        StartOutcome::Accepted
    }

    pub fn stop(&mut self, order: &StopOrder) -> StopOutcome {
        if self.is_fenced(order.epoch.get()) {
            return StopOutcome::Fenced;
        }
        let highest = self.highest.entry(order.task).or_default();
        *highest = (*highest).max(order.run);
        if self
            .running
            .get(&order.task)
            .is_some_and(|run| run.run == order.run)
        {
            self.end(order.task, order.run, EndKind::Stopped);
        }
        StopOutcome::Accepted
    }

    /// Answers a look; gives the ends that it forgets.
    pub fn look(&mut self, order: &LookOrder, now: u64) -> (LookOutcome, Vec<EndedRun>) {
        if self.is_fenced(order.epoch.get()) {
            return (LookOutcome::Fenced, Vec::new());
        }
        if let Some(end_ms) = order.lease_end_ms {
            self.extend(end_ms, now);
        }
        let (forgotten, kept) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|ended| ended.number <= order.ends_stored);
        self.ended = kept;
        let running = self.running.iter().map(|(task, run)| RunningRun {
            task: *task,
            run: run.run,
            checkpoint: "".into(),
            pace_percent: 100,
            figure: 0,
        });
        let answer = LookAnswer {
            clock_ms: self.clock(now),
            life_unix_ms: self.life,
            running: running.collect(),
            ended: self.ended.clone(),
        };
        (LookOutcome::Seen(answer), forgotten)
    }
}
