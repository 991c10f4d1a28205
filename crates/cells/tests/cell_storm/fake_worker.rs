//! A worker that keeps the contract of sessions, permits and leases.

use crate::fake_task::FakeTask;
use crate::storm_world::DAEMONS;
use sapphirestile_cells::SessionOrder;
use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::StartOrder;
use sapphirestile_cells::StopOrder;
use sapphirestile_cells::TaskSighting;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;

const LEASE_MS: u64 = 10_000;
pub const PERMIT_AGE_MAX_MS: u64 = 3_000;

/// One worker.
pub struct FakeWorker {
    pub name: WorkerName,
    pub zone: usize,
    pub size: ResourceSize,
    pub tasks: Vec<FakeTask>,
    /// No message of a daemon passes before this time.
    pub cut_until: [MonoTime; DAEMONS],
    /// When its VM was lost.
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
            cut_until: [MonoTime::default(); DAEMONS],
            lost: None,
            epoch: CellEpoch::default(),
            permit: None,
            permits: 0,
            lease_until: MonoTime::default(),
        }
    }

    pub fn is_reachable(&self, daemon: usize, now: MonoTime) -> bool {
        self.lost.is_none() && now >= self.cut_until[daemon]
    }

    /// Renews the session, and gives the permit and the report; nothing to a
    /// former owner.
    pub fn renew(
        &mut self,
        order: &SessionOrder,
        now: MonoTime,
    ) -> Option<(u64, Vec<TaskSighting>)> {
        if order.epoch < self.epoch {
            return None;
        }
        self.epoch = order.epoch;
        self.lease_until = now.plus_millis(LEASE_MS);
        self.permits += 1;
        self.permit = Some((self.permits, now));
        self.tasks.retain(|held| {
            let settled = (held.task.clone(), held.attempt);
            held.runs() || !order.settled.contains(&settled)
        });
        let tasks = self.tasks.iter().map(FakeTask::sighting).collect();
        Some((self.permits, tasks))
    }

    /// Starts an attempt; returns whether it began now.
    pub fn start(&mut self, order: &StartOrder, now: MonoTime) -> bool {
        let fresh = self.permit.is_some_and(|(permit, given)| {
            permit == order.permit && now.millis_since(given) <= PERMIT_AGE_MAX_MS
        });
        let mut held = self.tasks.iter();
        let known = held.any(|held| held.task == order.task && held.attempt == order.attempt);
        let room = order.size.fits_in(&self.size.minus(&self.used()));
        if order.epoch < self.epoch || !fresh || known || !room {
            return false;
        }
        self.tasks.push(FakeTask {
            task: order.task.clone(),
            attempt: order.attempt,
            phase: SightedPhase::Running,
            size: order.size,
            done_ms: order.checkpoint_ms,
            run_ms: order.run_ms,
        });
        true
    }

    /// Stops an attempt; returns whether it ran.
    pub fn stop(&mut self, order: &StopOrder) -> bool {
        if order.epoch < self.epoch {
            return false;
        }
        let mut running = self.tasks.iter_mut().filter(|held| held.runs());
        let found = running.find(|held| held.task == order.task && held.attempt == order.attempt);
        found
            .map(|held| held.phase = SightedPhase::Stopped)
            .is_some()
    }

    /// Lets time pass: tasks finish, or stop when their lease has lapsed.
    pub fn pass(&mut self, now: MonoTime, tick_ms: u64) -> (u32, u32) {
        let lapsed = now > self.lease_until;
        let (mut finished, mut stopped) = (0, 0);
        for held in self.tasks.iter_mut().filter(|held| held.runs()) {
            held.done_ms += tick_ms;
            if held.done_ms >= held.run_ms {
                held.phase = SightedPhase::Finished;
                finished += 1;
            } else if lapsed {
                held.phase = SightedPhase::Stopped;
                stopped += 1;
            }
        }
        (finished, stopped)
    }

    /// Lets the leases of all running tasks lapse.
    pub fn lapse(&mut self) -> u32 {
        let mut lapsed = 0;
        for held in self.tasks.iter_mut().filter(|held| held.runs()) {
            held.phase = SightedPhase::Stopped;
            lapsed += 1;
        }
        lapsed
    }

    /// Restarts: tasks, epochs and permits are gone; permits never come again.
    pub fn restart(&mut self) {
        self.tasks.clear();
        self.permit = None;
        self.epoch = CellEpoch::default();
    }

    fn used(&self) -> ResourceSize {
        let running = self.tasks.iter().filter(|held| held.runs());
        running.fold(ResourceSize::default(), |sum, held| sum.plus(&held.size))
    }
}
