//! What a worker runs and whom it obeys.

mod session_reports;

use crate::worker::EndedPhase;
use crate::worker::HistoryEntry;
use crate::worker::PermittedCall;
use crate::worker::ReportBook;
use crate::worker::RunningPhase;
use crate::worker::SessionCounts;
use crate::worker::SessionTable;
use crate::worker::TaskCycle;
use crate::worker::TaskEntry;
use crate::worker::WorkerSettings;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
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

/// One attempt's key in the table of attempts.
type AttemptKey = (TaskName, AttemptNumber);

/// What a worker runs and whom it obeys. Reads no clock.
#[derive(Clone, Debug)]
pub struct WorkerState {
    settings: WorkerSettings,
    incarnation: IncarnationNumber,
    sessions: SessionTable,
    attempts: SortedTable<AttemptKey, TaskEntry>,
    book: ReportBook,
    counts: SessionCounts,
    history: Vec<HistoryEntry>,
}

impl WorkerState {
    /// A worker that runs nothing. Its permits come after the number of its
    /// incarnation, so that no life gives one of another life.
    #[must_use]
    pub fn new(settings: WorkerSettings, incarnation: IncarnationNumber) -> Self {
        Self {
            settings,
            incarnation,
            sessions: SessionTable::after(incarnation.get()),
            attempts: SortedTable::new(),
            book: ReportBook::default(),
            counts: SessionCounts::default(),
            history: Vec::new(),
        }
    }

    /// Opens or renews a session.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal::StaleEpoch`].
    pub fn renew(
        &mut self,
        now: MonoTime,
        request: &SessionRequest,
    ) -> Result<SessionReport, WorkerRefusal> {
        self.advance(now);
        let permit = self.sessions.renew(request, now)?;
        for settled in &request.settled {
            self.forget(settled);
        }
        Ok(self.session_report(now, permit, request))
    }

    /// Begins a later life, which runs nothing and knows of no session.
    pub fn restart(&mut self, now: MonoTime, incarnation: IncarnationNumber) {
        self.advance(now);
        let every_ms = self.settings.checkpoint_every_ms;
        let attempts = std::mem::take(&mut self.attempts);
        for (key, entry) in attempts.iter() {
            if let TaskEntry::Running(cycle) = entry {
                self.record_end(key, &cycle.clone().stop(now, every_ms, false));
            }
        }
        self.incarnation = incarnation;
        self.sessions = SessionTable::after(incarnation.get());
        self.book = ReportBook::default();
    }

    /// Starts an attempt; done already when the worker knows the attempt.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal`], and then nothing was done.
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
        self.check_room(start)?;
        self.begin(permitted, start, key, fails);
        Ok(())
    }

    /// Stops an attempt; done already when it does not run.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal::StaleEpoch`].
    pub fn stop(&mut self, now: MonoTime, stop: &TaskStop) -> Result<(), WorkerRefusal> {
        self.advance(now);
        self.sessions.fence(stop.cell, stop.epoch)?;
        let key = (stop.task.clone(), stop.attempt);
        let every_ms = self.settings.checkpoint_every_ms;
        let entry = match self.attempts.remove(&key) {
            Some(TaskEntry::Running(cycle)) => {
                let ended = cycle.stop(now, every_ms, stop.checkpoint);
                self.record_end(&key, &ended);
                TaskEntry::Ended(ended)
            }
            Some(entry) => entry,
            None => return Ok(()),
        };
        self.attempts.insert(key, entry);
        Ok(())
    }

    /// Limits the processor time of an attempt; nothing to do when it has ended.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal`] when the epoch is stale or the attempt is not known.
    pub fn throttle(&mut self, now: MonoTime, call: &TaskThrottle) -> Result<(), WorkerRefusal> {
        self.advance(now);
        self.sessions.fence(call.cell, call.epoch)?;
        let key = (call.task.clone(), call.attempt);
        match self.attempts.get_mut(&key) {
            Some(TaskEntry::Running(cycle)) => {
                cycle.throttle(now, call.cpu_milli, &self.settings);
                Ok(())
            }
            Some(TaskEntry::Ended(_)) => Ok(()),
            None => Err(bad_call("the attempt is not known")),
        }
    }

    /// Ends the attempts whose work is done or whose lease has lapsed by `now`.
    pub fn advance(&mut self, now: MonoTime) {
        let attempts = std::mem::take(&mut self.attempts);
        for (key, entry) in attempts.iter() {
            let entry = self.advance_entry(now, key, entry.clone());
            self.attempts.insert(key.clone(), entry);
        }
    }

    /// What the worker has run, in the order of the starts.
    #[must_use]
    pub fn history(&self) -> &[HistoryEntry] {
        &self.history
    }

    /// How many running attempts are throttled.
    #[must_use]
    pub fn throttled_tasks(&self) -> usize {
        let limits = self
            .running()
            .filter_map(|(_, cycle)| cycle.limit_cpu_milli());
        limits.count()
    }

    /// The processor time that the running attempts take, in thousandths of a core.
    #[must_use]
    pub fn taken_cpu_milli(&self) -> u64 {
        self.running()
            .map(|(_, cycle)| cycle.taken_cpu_milli())
            .sum()
    }

    /// How sessions were answered, in all lives.
    #[must_use]
    pub const fn session_counts(&self) -> SessionCounts {
        self.counts
    }

    fn advance_entry(&mut self, now: MonoTime, key: &AttemptKey, entry: TaskEntry) -> TaskEntry {
        let TaskEntry::Running(cycle) = entry else {
            return entry;
        };
        let lease_until = self.sessions.lease_until(cycle.cell());
        let entry = cycle.check(now, lease_until);
        if let TaskEntry::Ended(ended) = &entry {
            self.record_end(key, ended);
        }
        entry
    }

    fn check_room(&self, start: &TaskStart) -> Result<(), WorkerRefusal> {
        let runs_already = self.running().any(|(key, _)| key.0 == start.task);
        if runs_already {
            return Err(bad_call("another attempt of the task runs"));
        }
        if start.size.fits_in(&self.free_room()) {
            Ok(())
        } else {
            Err(WorkerRefusal::NoRoom)
        }
    }

    fn begin(&mut self, permitted: PermittedCall, start: &TaskStart, key: AttemptKey, fails: bool) {
        let cycle = TaskCycle::begin(permitted, start, &self.settings);
        self.history.push(HistoryEntry {
            task: start.task.clone(),
            attempt: start.attempt,
            started: permitted.now(),
            ended: None,
            phase: TaskPhase::Running,
        });
        let entry = if fails {
            let ended = cycle.fail(permitted.now());
            self.record_end(&key, &ended);
            TaskEntry::Ended(ended)
        } else {
            TaskEntry::Running(cycle)
        };
        self.attempts.insert(key, entry);
        let taken = self.taken_room();
        assert!(
            taken.fits_in(&self.settings.size),
            "the worker was given more than it has room for: {taken:?}"
        );
    }

    fn forget(&mut self, settled: &TaskSettled) {
        let key = (settled.task.clone(), settled.attempt);
        if let Some(TaskEntry::Ended(_)) = self.attempts.get(&key) {
            self.attempts.remove(&key);
        }
    }

    fn record_end(&mut self, key: &AttemptKey, ended: &TaskCycle<EndedPhase>) {
        let mut rows = self.history.iter_mut().rev();
        let row = rows.find(|row| row.task == key.0 && row.attempt == key.1);
        let row = row.expect("an attempt that ends has begun");
        row.ended = Some(ended.ended());
        row.phase = ended.outcome();
    }

    fn running(&self) -> impl Iterator<Item = (&AttemptKey, &TaskCycle<RunningPhase>)> {
        self.attempts.iter().filter_map(|(key, entry)| match entry {
            TaskEntry::Running(cycle) => Some((key, cycle)),
            TaskEntry::Ended(_) => None,
        })
    }

    fn taken_room(&self) -> ResourceSize {
        let sizes = self.running().map(|(_, cycle)| cycle.size());
        sizes.fold(ResourceSize::default(), |sum, size| sum.plus(size))
    }

    fn free_room(&self) -> ResourceSize {
        self.settings.size.minus(&self.taken_room())
    }
}

fn bad_call(detail: &str) -> WorkerRefusal {
    WorkerRefusal::BadCall {
        detail: detail.to_owned(),
    }
}
