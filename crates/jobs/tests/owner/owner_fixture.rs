//! An owner whose workers, advisor and store are played by the test.

use std::net::SocketAddr;
use std::sync::Arc;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::AdviceRequest;
use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::EndList;
use sapphirestile_jobs::EndPosition;
use sapphirestile_jobs::EndedRun;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobOwner;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::OwnerEffect;
use sapphirestile_jobs::OwnerLimits;
use sapphirestile_jobs::PaceRequest;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::PollRequest;
use sapphirestile_jobs::PollResponse;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::WorkerEntry;
use sapphirestile_jobs::WorkerEvent;
use sapphirestile_jobs::WorkerIncarnation;

use crate::test_values::config;
use crate::test_values::task_identity;
use crate::test_values::worker_name;

pub const LEASE_MS: u64 = 5_000;
pub const LEASE_MAX_MS: u64 = 6_000;
pub const AUTHORITY_MS: u64 = 12_000;

const LIMITS: OwnerLimits = OwnerLimits {
    lease_ms: LEASE_MS,
    lease_max_ms: LEASE_MAX_MS,
    authority_ms: AUTHORITY_MS,
    retention_ms: 60_000,
};

/// An owner and a virtual clock. Effects of the owner are shown as lines of text.
pub struct OwnerFixture {
    pub owner: JobOwner,
    /// The virtual time, in milliseconds.
    pub now: u64,
    /// Latest request to the advisor.
    pub advice_request: Option<AdviceRequest>,
    /// Latest poll of each worker.
    polls: SortedTable<WorkerName, PollRequest>,
    /// Progress of each job in the latest batch that had it.
    progress: SortedTable<JobIdentity, JobProgress>,
}

impl OwnerFixture {
    /// An owner that has just claimed its cell, with idle workers that have responded.
    pub fn with_workers(entries: Vec<WorkerEntry>) -> Self {
        let mut fixture = Self::claimed(entries);
        for name in fixture.worker_names() {
            fixture.answer(&name, &[], &[]);
        }
        fixture
    }

    /// An owner that has just claimed its cell and stored its first batch, with workers that
    /// have not responded.
    pub fn claimed(entries: Vec<WorkerEntry>) -> Self {
        let inherited = LeaseBounds::of_all(LIMITS.authority_bound_ms());
        let mut fixture = Self::claimed_at(1_000, inherited, entries);
        fixture.store();
        fixture
    }

    /// An owner that claims its cell at `now` in milliseconds, with the bounds on the leases
    /// of earlier owners, and has stored no batch.
    pub fn claimed_at(now: u64, inherited: LeaseBounds, entries: Vec<WorkerEntry>) -> Self {
        Self::claimed_with(LIMITS, now, inherited, entries)
    }

    /// The same with other limits.
    pub fn claimed_with(
        limits: OwnerLimits,
        now: u64,
        inherited: LeaseBounds,
        entries: Vec<WorkerEntry>,
    ) -> Self {
        let claimed = MonoTime::from_millis(now);
        let config = Arc::new(config(1));
        let epoch = CellEpoch::new(7);
        let mut owner = JobOwner::new(epoch, limits, config, Vec::new(), inherited, claimed);
        owner.replace_workers(entries, claimed);
        let mut fixture = Self {
            owner,
            now,
            advice_request: None,
            polls: SortedTable::new(),
            progress: SortedTable::new(),
        };
        fixture.step();
        fixture
    }

    fn worker_names(&self) -> Vec<String> {
        let names = self.owner.workers().map(|(name, _)| name.to_string());
        names.collect()
    }

    pub fn time(&self) -> MonoTime {
        MonoTime::from_millis(self.now)
    }

    /// Lets time pass, and returns the effects that this releases.
    pub fn wait(&mut self, milliseconds: u64) -> Vec<String> {
        self.now += milliseconds;
        self.owner.advance_time(self.time(), self.now);
        self.step()
    }

    /// A job comes in, which was accepted now unless it says when.
    pub fn accept(&mut self, job: &str, mut spec: JobSpec) {
        let identity = JobIdentity::try_from(job).unwrap();
        if spec.accepted_unix_ms == 0 {
            spec.accepted_unix_ms = self.now;
        }
        let now = self.time();
        self.owner.accept_job(identity, spec, now, self.now);
    }

    pub fn cancel(&mut self, job: &str) {
        let identity = JobIdentity::try_from(job).unwrap();
        let now = self.time();
        self.owner.cancel_job(identity, now);
    }

    /// Plans, polls and takes the effects as lines. Polls are recorded and not shown.
    pub fn step(&mut self) -> Vec<String> {
        let now = self.time();
        self.owner.plan_starts(now, self.now);
        self.owner.poll_due_workers(now);
        let mut lines = Vec::new();
        for effect in self.owner.take_effects() {
            match effect {
                OwnerEffect::Poll(request) => {
                    self.polls.insert(request.worker.clone(), request);
                }
                OwnerEffect::Start(request) => {
                    let ticket = if request.ticket.is_empty() {
                        String::new()
                    } else {
                        format!(" with {}", request.ticket)
                    };
                    lines.push(format!(
                        "start {}#{} at {}{ticket}",
                        request.task, request.run, request.worker
                    ));
                }
                OwnerEffect::Stop(request) => {
                    lines.push(format!(
                        "stop {}#{} at {}",
                        request.task, request.run, request.worker
                    ));
                }
                OwnerEffect::Pace(request) => {
                    lines.push(format!(
                        "pace {}#{} {}",
                        request.task, request.run, request.percent
                    ));
                }
                OwnerEffect::Advise(request) => {
                    let names: Vec<&str> = request.workers.iter().map(WorkerName::as_str).collect();
                    lines.push(format!("ask {} about {}", request.step, names.join(" ")));
                    self.advice_request = Some(request);
                }
                OwnerEffect::Forget { worker, .. } => lines.push(format!("forget {worker}")),
            }
        }
        lines
    }

    /// Takes the changes to be stored; `None` if there are none or a batch is being stored. A
    /// batch that changes no task and ends no job, only the bounds on leases and which jobs have
    /// begun, is stored at once.
    pub fn batch(&mut self) -> Option<CommitBatch> {
        let now = self.time();
        let batch = self.owner.take_batch(false, now)?;
        let changes_guest = !batch.guests.is_empty() || !batch.transfers.is_empty();
        let changes_job =
            self.changes_task(&batch) || !batch.forgotten.is_empty() || !batch.moves.is_empty();
        self.record_progress(&batch);
        if !changes_job && !changes_guest && batch.revoked.is_empty() {
            self.owner.confirm_batch(now, self.now);
            return None;
        }
        Some(batch)
    }

    /// Whether a batch changes a task or ends a job.
    fn changes_task(&self, batch: &CommitBatch) -> bool {
        batch.progress.iter().any(|(job, progress)| {
            let before = self.progress.get(job);
            progress.standing.is_final()
                || before.is_none_or(|before| before.occurrences != progress.occurrences)
        })
    }

    fn record_progress(&mut self, batch: &CommitBatch) {
        for (job, progress) in &batch.progress {
            self.progress.insert(*job, progress.clone());
        }
    }

    /// Stores the pending batch, and returns the effects that this releases.
    pub fn store(&mut self) -> Vec<String> {
        let now = self.time();
        let batch = self.owner.take_batch(false, now);
        let batch = batch.expect("there is a batch to store");
        self.record_progress(&batch);
        self.owner.confirm_batch(now, self.now);
        self.step()
    }

    /// The start request of a run has this outcome.
    pub fn started(&mut self, worker: &str, task: &str, run: u32, outcome: StartOutcome) {
        let (worker, task) = (worker_name(worker), task_identity(task));
        let now = self.time();
        self.owner
            .handle_start_outcome(&worker, &task, run, outcome, now, self.now);
    }

    /// The stop request of a run has this outcome.
    pub fn stopped(&mut self, worker: &str, task: &str, run: u32, outcome: StopOutcome) {
        let (worker, task) = (worker_name(worker), task_identity(task));
        let now = self.time();
        self.owner
            .handle_stop_outcome(&worker, &task, run, outcome, now);
    }

    /// An order to change a pace has no answer.
    pub fn pace_failed(&mut self, worker: &str, task: &str, run: u32, percent: u32) {
        self.owner.handle_pace_failure(&PaceRequest {
            worker: worker_name(worker),
            address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
            epoch: self.owner.epoch(),
            task: task_identity(task),
            run,
            percent,
        });
    }

    /// The worker responds to its latest poll.
    pub fn answer(&mut self, worker: &str, running: &[RunningRun], ended: &[EndedRun]) {
        self.respond_as_incarnation(worker, 1, running, ended);
    }

    /// The worker responds to its latest poll with the first of its ends.
    pub fn answer_in_part(&mut self, worker: &str, running: &[RunningRun], ended: &[EndedRun]) {
        let ends = EndList::Cut(ended.to_vec());
        self.respond(worker, 1, running, ends);
    }

    /// An incarnation of the worker, numbered from 1, responds to the latest poll.
    pub fn respond_as_incarnation(
        &mut self,
        worker: &str,
        incarnation: u64,
        running: &[RunningRun],
        ended: &[EndedRun],
    ) {
        let ends = EndList::Complete(ended.to_vec());
        self.respond(worker, incarnation, running, ends);
    }

    /// An incarnation of the worker, numbered from 1, lists itself as the one before did.
    pub fn list_incarnation(&mut self, worker: &str, incarnation: u64) {
        let name = worker_name(worker);
        let mut entry = self.entry_of(&name).expect("the worker is listed");
        entry.incarnation = WorkerIncarnation::from_unix_ms(incarnation);
        let now = self.time();
        self.owner
            .apply_worker_event(WorkerEvent::Present(entry), now);
    }

    fn entry_of(&self, name: &WorkerName) -> Option<WorkerEntry> {
        let mut entries = self.owner.workers();
        entries.find_map(|(other, tracked)| {
            let entry = tracked.entry.as_ref();
            entry.filter(|_| other == name).cloned()
        })
    }

    fn respond(&mut self, worker: &str, incarnation: u64, running: &[RunningRun], ended: EndList) {
        let response = PollResponse {
            clock_ms: self.now,
            incarnation: WorkerIncarnation::from_unix_ms(incarnation),
            running: running.to_vec(),
            ended,
        };
        self.finish_poll(worker, PollOutcome::Responded(response));
    }

    /// The latest poll of a worker has this outcome.
    pub fn finish_poll(&mut self, worker: &str, outcome: PollOutcome) {
        let worker = worker_name(worker);
        let number = self.polls.get(&worker).map_or(0, |poll| poll.number);
        let now = self.time();
        self.owner
            .handle_poll_outcome(&worker, number, outcome, now, self.now);
    }

    /// Checks that nothing starts, and that the next batch stores the only changed job as
    /// completed.
    pub fn assert_completed(&mut self) {
        assert!(self.step().is_empty(), "something was started or stopped");
        let batch = self.batch().expect("the completion is to be stored");
        assert_eq!(batch.progress.len(), 1, "jobs that changed");
        assert_eq!(batch.progress[0].1.standing, JobStanding::Completed);
    }

    /// Number of the latest poll of a worker; 0 if there was none.
    pub fn latest_poll(&self, worker: &str) -> u64 {
        let poll = self.polls.get(&worker_name(worker));
        poll.map_or(0, |poll| poll.number)
    }

    /// Position up to which the latest poll of a worker lets it drop ends; `None` if it lets it
    /// drop none.
    pub fn acknowledged(&self, worker: &str) -> Option<EndPosition> {
        self.polls.get(&worker_name(worker))?.stored_end
    }

    /// End of the lease that the latest poll of a worker grants, on the worker's clock in
    /// milliseconds; `None` if it grants none.
    pub fn granted(&self, worker: &str) -> Option<u64> {
        self.polls.get(&worker_name(worker))?.lease_end_ms
    }

    /// Time for which the latest poll of a worker lets it wait for ends, in milliseconds.
    pub fn poll_wait_ms(&self, worker: &str) -> u64 {
        self.polls
            .get(&worker_name(worker))
            .map_or(0, |poll| poll.wait_ms)
    }

    /// Plans and polls, stores what is planned, and returns the effects of both.
    pub fn step_and_store(&mut self) -> Vec<String> {
        let mut lines = self.step();
        if self.batch().is_some() {
            let now = self.time();
            self.owner.confirm_batch(now, self.now);
            lines.extend(self.step());
        }
        lines
    }

    /// Sets what an earlier owner stored of the progress of a job.
    pub fn restore_progress(&mut self, job: JobIdentity, progress: Option<JobProgress>) {
        if let Some(progress) = progress {
            self.progress.insert(job, progress);
        }
    }

    /// What is stored of the progress of a job; `None` if nothing is.
    pub fn stored_progress(&self, job: &JobIdentity) -> Option<&JobProgress> {
        self.progress.get(job)
    }

    /// Stores what is planned, and returns the tasks that start.
    pub fn started_tasks(&mut self) -> Vec<String> {
        let lines = self.step_and_store();
        let tasks = lines.iter().filter_map(|line| {
            let run = line.strip_prefix("start ")?;
            Some(run.split_once('#')?.0.to_owned())
        });
        tasks.collect()
    }
}
