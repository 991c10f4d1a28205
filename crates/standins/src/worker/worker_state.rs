//! The attempts and sessions of a worker.

mod usage;

mod session_reports;

use crate::worker::AttemptCycle;
use crate::worker::AttemptState;
use crate::worker::EndedPhase;
use crate::worker::HistoryEntry;
use crate::worker::PermittedCall;
use crate::worker::ReportTracker;
use crate::worker::SessionCounts;
use crate::worker::SessionTable;
use crate::worker::WorkerSettings;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskSettled;
use sapphirestile_wire::worker::TaskStart;
use sapphirestile_wire::worker::TaskStop;
use sapphirestile_wire::worker::TaskThrottle;
use sapphirestile_wire::worker::WorkerRefusal;

/// The key of an attempt in the table of attempts.
type AttemptKey = (TaskName, AttemptNumber);

/// The attempts and sessions of a worker, and the rules for calls to it. It reads no clock:
/// the time is passed to each operation that depends on it.
#[derive(Clone, Debug)]
pub struct WorkerState {
    settings: WorkerSettings,
    incarnation: IncarnationNumber,
    sessions: SessionTable,
    attempts: SortedTable<AttemptKey, AttemptState>,
    tracker: ReportTracker,
    counts: SessionCounts,
    /// Every attempt that was started, in all incarnations, in the order of the starts.
    history: Vec<HistoryEntry>,
}

impl WorkerState {
    /// Creates an idle worker. Its permits are numbered from the one after the incarnation's
    /// number, so that no two incarnations issue the same permit.
    #[must_use]
    pub fn new(settings: WorkerSettings, incarnation: IncarnationNumber) -> Self {
        Self {
            settings,
            incarnation,
            sessions: SessionTable::with_last_permit(incarnation.get()),
            attempts: SortedTable::new(),
            tracker: ReportTracker::default(),
            counts: SessionCounts::default(),
            history: Vec::new(),
        }
    }

    /// Opens or renews the session of a cell's owner, forgets the attempts that the owner has
    /// settled, and reports the others.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal::StaleEpoch`] when a higher epoch has a session for the cell.
    pub fn renew(
        &mut self,
        now: MonoTime,
        request: &SessionRequest,
    ) -> Result<SessionReport, WorkerRefusal> {
        self.advance(now);
        let permit = self.sessions.renew(request, now)?;
        for settled in &request.settled {
            self.forget_ended(settled);
        }
        Ok(self.session_report(now, permit, request))
    }

    /// Simulates a restart: stops all running attempts at `now` without a final checkpoint,
    /// forgets all attempts and sessions, and continues under `incarnation`, which has to be
    /// higher than all permits issued so far.
    pub fn restart(&mut self, now: MonoTime, incarnation: IncarnationNumber) {
        self.advance(now);
        let interval_ms = self.settings.checkpoint_every_ms;
        let attempts = std::mem::take(&mut self.attempts);
        for (key, attempt) in attempts.iter() {
            if let AttemptState::Running(cycle) = attempt {
                self.record_end(key, &cycle.clone().stop(now, interval_ms, false));
            }
        }
        self.incarnation = incarnation;
        self.sessions = SessionTable::with_last_permit(incarnation.get());
        self.tracker = ReportTracker::default();
    }

    /// Starts an attempt. Does nothing when the worker knows the attempt already, in whatever
    /// phase. With `fails`, the attempt fails at once.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal`] when the epoch or the permit is stale, another attempt of the task is
    /// running, or the task does not fit; nothing was done then.
    pub fn start(
        &mut self,
        now: MonoTime,
        start: &TaskStart,
        fails: bool,
    ) -> Result<(), WorkerRefusal> {
        self.advance(now);
        let fenced = self.sessions.fence(start.cell, start.epoch)?;
        let key = (start.task.clone(), start.attempt);
        if self.attempts.contains(&key) {
            return Ok(());
        }
        let permitted = fenced.permit(start.permit, now)?;
        self.check_free_size(start)?;
        self.start_attempt(permitted, start, key, fails);
        Ok(())
    }

    /// Stops an attempt. Does nothing when it has ended or is not known.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal::StaleEpoch`] when a higher epoch has a session for the cell.
    pub fn stop(&mut self, now: MonoTime, stop: &TaskStop) -> Result<(), WorkerRefusal> {
        self.advance(now);
        self.sessions.fence(stop.cell, stop.epoch)?;
        let key = (stop.task.clone(), stop.attempt);
        let interval_ms = self.settings.checkpoint_every_ms;
        let attempt = match self.attempts.remove(&key) {
            Some(AttemptState::Running(cycle)) => {
                let ended = cycle.stop(now, interval_ms, stop.checkpoint);
                self.record_end(&key, &ended);
                AttemptState::Ended(ended)
            }
            Some(attempt) => attempt,
            None => return Ok(()),
        };
        self.attempts.insert(key, attempt);
        Ok(())
    }

    /// Limits the CPU time of an attempt. Does nothing when it has ended.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal`] when the epoch is stale, or the attempt is not known.
    pub fn throttle(&mut self, now: MonoTime, call: &TaskThrottle) -> Result<(), WorkerRefusal> {
        self.advance(now);
        self.sessions.fence(call.cell, call.epoch)?;
        let key = (call.task.clone(), call.attempt);
        match self.attempts.get_mut(&key) {
            Some(AttemptState::Running(cycle)) => {
                cycle.throttle(now, call.cpu_milli, &self.settings);
                Ok(())
            }
            Some(AttemptState::Ended(_)) => Ok(()),
            None => Err(bad_call("the attempt is not known")),
        }
    }

    /// Ends the attempts whose work is done or whose lease has expired by `now`.
    pub fn advance(&mut self, now: MonoTime) {
        let attempts = std::mem::take(&mut self.attempts);
        for (key, attempt) in attempts.iter() {
            let attempt = self.advance_attempt(now, key, attempt.clone());
            self.attempts.insert(key.clone(), attempt);
        }
    }

    /// Every attempt that was started, in all incarnations, in the order of the starts.
    #[must_use]
    pub fn history(&self) -> &[HistoryEntry] {
        &self.history
    }

    /// The number of running attempts that are throttled, as of the last operation.
    #[must_use]
    pub fn throttled_tasks(&self) -> usize {
        let limits = self
            .running_attempts()
            .filter_map(|(_, cycle)| cycle.limit_cpu_milli());
        limits.count()
    }

    /// The CPU time that the running attempts use, in thousandths of a core, as of the last
    /// operation.
    #[must_use]
    pub fn used_cpu_milli(&self) -> u64 {
        self.running_attempts()
            .map(|(_, cycle)| cycle.used_cpu_milli())
            .sum()
    }

    /// The numbers of full and incremental reports, in all incarnations.
    #[must_use]
    pub const fn session_counts(&self) -> SessionCounts {
        self.counts
    }

    fn advance_attempt(
        &mut self,
        now: MonoTime,
        key: &AttemptKey,
        attempt: AttemptState,
    ) -> AttemptState {
        let AttemptState::Running(cycle) = attempt else {
            return attempt;
        };
        let lease_until = self.sessions.lease_until(cycle.cell());
        let attempt = cycle.check(now, lease_until);
        if let AttemptState::Ended(ended) = &attempt {
            self.record_end(key, ended);
        }
        attempt
    }

    fn check_free_size(&self, start: &TaskStart) -> Result<(), WorkerRefusal> {
        let is_running = self.running_attempts().any(|(key, _)| key.0 == start.task);
        if is_running {
            return Err(bad_call("another attempt of the task runs"));
        }
        if start.size.fits_in(&self.free_size()) {
            Ok(())
        } else {
            Err(WorkerRefusal::NoRoom)
        }
    }

    fn start_attempt(
        &mut self,
        permitted: PermittedCall,
        start: &TaskStart,
        key: AttemptKey,
        fails: bool,
    ) {
        let cycle = AttemptCycle::start(permitted, start, &self.settings);
        self.history.push(HistoryEntry {
            task: start.task.clone(),
            attempt: start.attempt,
            started: permitted.now(),
            ended: None,
            phase: TaskPhase::Running,
        });
        let attempt = if fails {
            let ended = cycle.fail(permitted.now());
            self.record_end(&key, &ended);
            AttemptState::Ended(ended)
        } else {
            AttemptState::Running(cycle)
        };
        self.attempts.insert(key, attempt);
        let used = self.used_size_total();
        assert!(
            used.fits_in(&self.settings.size),
            "running attempts use {used:?}, more than the worker's size {:?}",
            self.settings.size
        );
    }

    fn forget_ended(&mut self, settled: &TaskSettled) {
        let key = (settled.task.clone(), settled.attempt);
        if let Some(AttemptState::Ended(_)) = self.attempts.get(&key) {
            self.attempts.remove(&key);
        }
    }

    fn record_end(&mut self, key: &AttemptKey, ended: &AttemptCycle<EndedPhase>) {
        let mut rows = self.history.iter_mut().rev();
        let row = rows.find(|row| row.task == key.0 && row.attempt == key.1);
        let row = row.expect("an attempt that ends is in the history");
        row.ended = Some(ended.ended());
        row.phase = ended.outcome();
    }
}

fn bad_call(detail: &str) -> WorkerRefusal {
    WorkerRefusal::BadCall {
        detail: detail.to_owned(),
    }
}
