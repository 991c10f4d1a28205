//! A worker that follows the platform's protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

use sapphirestile_core::WorkerName;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::EndList;
use sapphirestile_jobs::EndedRun;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::PollRequest;
use sapphirestile_jobs::PollResponse;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StartRequest;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::StopRequest;
use sapphirestile_jobs::TaskIdentity;
use sapphirestile_jobs::WorkerIncarnation;

use crate::fake_end::FakeEnd;

/// Longest lease that a worker accepts, in milliseconds.
pub const LEASE_MAX_MS: u64 = 6_000;

/// Most ends in a response. It is low, so that the runs of the simulation exceed it.
const ENDS_PER_RESPONSE_MAX: usize = 2;

/// A run that ends at the virtual time `end` in milliseconds, unless it is stopped or its
/// lease expires earlier.
#[derive(Clone, Copy, Debug)]
pub struct FakeRun {
    pub run: u32,
    pub end: u64,
    pub kind: EndKind,
}

/// A worker whose clock may run slower than virtual time. Times are in milliseconds.
#[derive(Debug)]
pub struct FakeWorker {
    pub name: WorkerName,
    pub address: SocketAddr,
    pub incarnation: u64,
    pub started_at: u64,
    pub clock_lag_percent: u64,
    /// Longest lease that the worker accepts, in milliseconds.
    pub lease_max_ms: u64,
    /// The incarnation that the list of workers still shows, and until when; `None` if it shows
    /// the present one.
    pub listed_before: Option<(u64, u64)>,
    pub partitioned_until: u64,
    /// The only daemon that can reach the worker, and until when; `None` if all can.
    pub reachable_from: Option<(usize, u64)>,
    pub down_until: u64,
    /// Until when the worker refuses every start.
    pub refuses_until: u64,
    /// Time that a run takes to stop, in milliseconds.
    pub stop_ms: u64,
    /// When the list of workers has no entry of the worker.
    pub unlisted: Range<u64>,
    /// The highest epoch of an owner that has called.
    token: u64,
    /// End of the lease, on the worker's clock.
    lease_end: u64,
    pub running: BTreeMap<TaskIdentity, FakeRun>,
    /// The highest run of each task that was stopped or ended here.
    highest: BTreeMap<TaskIdentity, u32>,
    /// Ends that the owner has not acknowledged.
    ended: Vec<FakeEnd>,
    /// Number of the latest end.
    ends: u64,
}

impl FakeWorker {
    pub fn new(name: WorkerName, address: SocketAddr, clock_lag_percent: u64) -> Self {
        Self {
            name,
            address,
            incarnation: 1,
            started_at: 0,
            clock_lag_percent,
            lease_max_ms: LEASE_MAX_MS,
            listed_before: None,
            partitioned_until: 0,
            reachable_from: None,
            down_until: 0,
            refuses_until: 0,
            stop_ms: 0,
            unlisted: 0..0,
            token: 0,
            lease_end: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        let elapsed = now - self.started_at;
        elapsed - elapsed * self.clock_lag_percent / 100
    }

    /// Restarts as a new incarnation without runs and without memory.
    pub fn crash(&mut self, now: u64, down_ms: u64) {
        let restarted = Self::new(self.name.clone(), self.address, self.clock_lag_percent);
        *self = Self {
            incarnation: self.incarnation + 1,
            started_at: now,
            partitioned_until: self.partitioned_until,
            reachable_from: self.reachable_from,
            down_until: now + down_ms,
            lease_max_ms: self.lease_max_ms,
            stop_ms: self.stop_ms,
            unlisted: now..now + down_ms,
            ..restarted
        };
    }

    /// Restarts as a new incarnation within a few heartbeats: the list of workers shows no gap,
    /// and the earlier incarnation until the new one has written its entry.
    pub fn restart(&mut self, now: u64, down_ms: u64, listed_ms: u64) {
        let earlier = self.incarnation;
        self.crash(now, down_ms);
        self.unlisted = 0..0;
        self.listed_before = Some((earlier, now + down_ms + listed_ms));
    }

    /// Incarnation that the list of workers shows.
    pub fn listed_incarnation(&self, now: u64) -> u64 {
        match self.listed_before {
            Some((earlier, until)) if now < until => earlier,
            _ => self.incarnation,
        }
    }

    /// Ends for good. The entry of the worker stays in the list for a while.
    pub fn die(&mut self, now: u64, listed_ms: u64) {
        let incarnation = self.incarnation;
        self.crash(now, 0);
        self.incarnation = incarnation;
        self.down_until = u64::MAX;
        self.unlisted = now + listed_ms..u64::MAX;
    }

    pub const fn is_up(&self, now: u64) -> bool {
        now >= self.down_until
    }

    /// Whether the worker has a run that lasts until the given time or longer.
    pub fn has_run_until(&self, end: u64) -> bool {
        self.running.values().any(|run| run.end > end)
    }

    /// Ends the runs that are finished or whose lease has expired.
    pub fn advance_time(&mut self, now: u64) {
        let has_lapsed = self.clock(now) >= self.lease_end;
        let ended: Vec<(TaskIdentity, FakeRun)> = self
            .running
            .iter()
            .filter(|(_, run)| has_lapsed || run.end <= now)
            .map(|(task, run)| (*task, *run))
            .collect();
        if has_lapsed {
            self.ended.iter_mut().for_each(|end| end.has_lapsed = true);
        }
        for (task, run) in ended {
            let kind = if run.end <= now {
                run.kind
            } else {
                EndKind::Lapsed
            };
            self.end(task, run.run, kind, now);
        }
    }

    pub fn end(&mut self, task: TaskIdentity, run: u32, kind: EndKind, now: u64) {
        self.running.remove(&task);
        let highest = self.highest.entry(task).or_default();
        *highest = (*highest).max(run);
        self.ends += 1;
        let run = EndedRun {
            number: self.ends,
            task,
            run,
            kind,
            checkpoint: "".into(),
        };
        self.ended.push(FakeEnd {
            run,
            at: now,
            has_lapsed: false,
        });
    }

    fn is_fenced(&mut self, token: u64) -> bool {
        self.token = self.token.max(token);
        token < self.token
    }

    fn extend_lease(&mut self, end_ms: u64, now: u64) {
        let end_max = self.clock(now) + self.lease_max_ms;
        self.lease_end = self.lease_end.max(end_ms.min(end_max));
    }

    pub fn start(&mut self, request: &StartRequest, run: FakeRun, now: u64) -> StartOutcome {
        if self.is_fenced(request.epoch.get()) {
            return StartOutcome::Fenced;
        }
        let known = self.running.get(&request.task);
        if known.is_some_and(|known| known.run == request.run) {
            return StartOutcome::Accepted;
        }
        if now < self.refuses_until {
            return StartOutcome::Unhealthy;
        }
        let highest = self.highest.get(&request.task).copied().unwrap_or(0);
        if request.run <= highest || request.lease_end_ms <= self.clock(now) {
            return StartOutcome::TooLate;
        }
        assert!(
            known.is_none(),
            "worker already has a run of {}",
            request.task
        );
        self.extend_lease(request.lease_end_ms, now);
        self.running.insert(request.task, run);
        StartOutcome::Accepted
    }

    pub fn stop(&mut self, request: &StopRequest, now: u64) -> StopOutcome {
        if self.is_fenced(request.epoch.get()) {
            return StopOutcome::Fenced;
        }
        let highest = self.highest.entry(request.task).or_default();
        *highest = (*highest).max(request.run);
        let known = self.running.get_mut(&request.task);
        if let Some(run) = known.filter(|run| run.run == request.run) {
            if self.stop_ms == 0 {
                self.end(request.task, request.run, EndKind::Stopped, now);
            } else if now + self.stop_ms < run.end {
                run.end = now + self.stop_ms;
                run.kind = EndKind::Stopped;
            }
        }
        StopOutcome::Accepted(WorkerIncarnation::from_unix_ms(self.incarnation))
    }

    /// Handles a poll. Also returns the acknowledged ends, which the worker drops.
    pub fn poll(&mut self, request: &PollRequest, now: u64) -> (PollOutcome, Vec<FakeEnd>) {
        if self.is_fenced(request.epoch.get()) {
            return (PollOutcome::Fenced, Vec::new());
        }
        // A lease and a number are sent on a connection, which belongs to one incarnation.
        let own_incarnation = WorkerIncarnation::from_unix_ms(self.incarnation);
        let own_end = request
            .stored_end
            .filter(|end| end.incarnation == own_incarnation);
        if let Some(end_ms) = request.lease_end_ms.filter(|_| own_end.is_some()) {
            self.extend_lease(end_ms, now);
        }
        let stored_end = own_end.map_or(0, |end| end.number);
        let (acknowledged, kept) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.run.number <= stored_end);
        self.ended = kept;
        let running = self.running.iter().map(|(task, run)| RunningRun {
            task: *task,
            run: run.run,
            checkpoint: "".into(),
            pace_percent: 100,
            measurement: 0,
        });
        let listed = self.ended.iter().map(|end| end.run.clone());
        let response = PollResponse {
            clock_ms: self.clock(now),
            incarnation: WorkerIncarnation::from_unix_ms(self.incarnation),
            running: running.collect(),
            ended: EndList::with_limit(
                listed.take(ENDS_PER_RESPONSE_MAX).collect(),
                ENDS_PER_RESPONSE_MAX,
            ),
        };
        (PollOutcome::Responded(response), acknowledged)
    }
}
