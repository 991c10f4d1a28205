//! Simulated worker with sessions, permits and leases.

use crate::fake_task::FakeTask;
use crate::simulated_cluster::DAEMONS;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::AttemptStop;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;

const LEASE_MS: u64 = 10_000;
pub const PERMIT_AGE_MAX_MS: u64 = 3_000;

/// A simulated worker.
pub struct FakeWorker {
    pub name: WorkerName,
    pub zone: usize,
    pub size: ResourceSize,
    pub tasks: Vec<FakeTask>,
    /// Until when messages of each daemon do not reach it.
    pub unreachable_until: [MonoTime; DAEMONS],
    /// When its VM was lost, if it was.
    pub lost: Option<MonoTime>,
    epoch: CellEpoch,
    permit: Option<(u64, MonoTime)>,
    permits: u64,
    lease_until: MonoTime,
}

impl FakeWorker {
    pub fn new(name: WorkerName, zone: usize, size: ResourceSize) -> Self {
        Self {
            name,
            zone,
            size,
            tasks: Vec::new(),
            unreachable_until: [MonoTime::default(); DAEMONS],
            lost: None,
            epoch: CellEpoch::default(),
            permit: None,
            permits: 0,
            lease_until: MonoTime::default(),
        }
    }

    pub fn is_reachable(&self, daemon: usize, now: MonoTime) -> bool {
        self.lost.is_none() && now >= self.unreachable_until[daemon]
    }

    /// Renews the session and returns the permit and the report; `None` for a former owner.
    pub fn renew(
        &mut self,
        request: &SessionRenewal,
        now: MonoTime,
    ) -> Option<(u64, Vec<AttemptReport>)> {
        if request.epoch < self.epoch {
            return None;
        }
        self.epoch = request.epoch;
        self.lease_until = now.plus_millis(LEASE_MS);
        self.permits += 1;
        self.permit = Some((self.permits, now));
        self.tasks.retain(|task| {
            let settled = (task.task.clone(), task.attempt);
            task.runs() || !request.settled.contains(&settled)
        });
        let tasks = self.tasks.iter().map(FakeTask::attempt_report).collect();
        Some((self.permits, tasks))
    }

    /// Starts an attempt; returns whether it started now.
    pub fn start(&mut self, request: &AttemptStart, now: MonoTime) -> bool {
        let fresh = self.permit.is_some_and(|(permit, given)| {
            permit == request.permit && now.millis_since(given) <= PERMIT_AGE_MAX_MS
        });
        let mut task = self.tasks.iter();
        let known = task.any(|task| task.task == request.task && task.attempt == request.attempt);
        let fits = request.size.fits_in(&self.size.minus(&self.used()));
        if request.epoch < self.epoch || !fresh || known || !fits {
            return false;
        }
        self.tasks.push(FakeTask {
            task: request.task.clone(),
            attempt: request.attempt,
            phase: ReportedPhase::Running,
            size: request.size,
            progress_ms: request.checkpoint_ms,
            run_ms: request.run_ms,
        });
        true
    }

    /// Stops an attempt; returns whether it was running.
    pub fn stop(&mut self, request: &AttemptStop) -> bool {
        if request.epoch < self.epoch {
            return false;
        }
        let mut running = self.tasks.iter_mut().filter(|task| task.runs());
        let found =
            running.find(|task| task.task == request.task && task.attempt == request.attempt);
        found
            .map(|task| task.phase = ReportedPhase::Stopped)
            .is_some()
    }

    /// Advances time: tasks finish, or stop when the lease has expired. Returns the numbers of
    /// both.
    pub fn advance(&mut self, now: MonoTime, tick_ms: u64) -> (u32, u32) {
        let expired = now > self.lease_until;
        let (mut finished, mut stopped) = (0, 0);
        for task in self.tasks.iter_mut().filter(|task| task.runs()) {
            task.progress_ms += tick_ms;
            if task.progress_ms >= task.run_ms {
                task.phase = ReportedPhase::Finished;
                finished += 1;
            } else if expired {
                task.phase = ReportedPhase::Stopped;
                stopped += 1;
            }
        }
        (finished, stopped)
    }

    /// Expires the leases of all running tasks; returns their number.
    pub fn expire_leases(&mut self) -> u32 {
        let mut expired = 0;
        for task in self.tasks.iter_mut().filter(|task| task.runs()) {
            task.phase = ReportedPhase::Stopped;
            expired += 1;
        }
        expired
    }

    /// Restarts: tasks, epoch and permit are lost, and permit numbers are not reused.
    pub fn restart(&mut self) {
        self.tasks.clear();
        self.permit = None;
        self.epoch = CellEpoch::default();
    }

    fn used(&self) -> ResourceSize {
        let running = self.tasks.iter().filter(|task| task.runs());
        running.fold(ResourceSize::default(), |sum, task| sum.plus(&task.size))
    }
}
