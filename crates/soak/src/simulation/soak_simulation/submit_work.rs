//! Submissions, cancellations and request records of callers.

use rand::Rng;

use crate::CellOwnership;
use crate::DaemonInstance;
use crate::FaultKind;
use crate::JobSubmissions;
use crate::OwnedCell;
use crate::PendingReply;
use crate::SoakDaemon;
use crate::SoakEvent;
use crate::SoakSimulation;
use crate::SubmissionOutcome;
use crate::simulation::soak_simulation::step_daemons::CUSTOMERS;
use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::RequestRecord;
use sapphirestile_cells::TransitionError;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::RequestKey;
use sapphirestile_core::ResourceSize;

/// Number of distinct request keys. Callers draw from these, so keys repeat.
const KEY_COUNT: u32 = 40;
/// Probability that a recorded request is sent; otherwise its record is withdrawn.
const SENT_PROBABILITY: f64 = 0.7;
const BURST_CANCELS: usize = 6;

impl SoakSimulation {
    /// Submits one job and records one request key, and schedules the next time. Does nothing after
    /// the faults have ended.
    pub(super) fn submit_work(&mut self) {
        if self.faults_ended {
            return;
        }
        let job = self.choose_job();
        self.submit_job_once(&job);
        if self.draw_fault(FaultKind::SubmitTwice, 0.5) {
            self.submit_job_once(&job);
        }
        self.record_request_key();
        let next = self.now_ms + self.rng.random_range(200..4_000);
        self.queue.push(next, SoakEvent::SubmitWork);
    }

    pub(super) fn cancel_burst(&mut self) {
        for _ in 0..BURST_CANCELS {
            let count = self.tracker.jobs.len();
            if count == 0 {
                return;
            }
            let index = self.rng.random_range(0..count);
            let Some(submissions) = self.tracker.jobs.values().nth(index) else {
                return;
            };
            let (cell, job) = (submissions.cell, submissions.spec.job.clone());
            if let Some((_, owned)) = self.random_owner(cell) {
                let _result = owned.owner.cancel_job(&job);
            }
        }
    }

    /// Sends the pending replies whose entries are in the journal.
    pub(super) fn complete_replies(&mut self, instance: DaemonInstance, cell: CellNumber) {
        let daemon = &mut self.daemons[instance.index];
        let identity = daemon.identity();
        let cell_ownership = daemon.cells.get_mut(&cell);
        let Some(owned) = cell_ownership.and_then(CellOwnership::owned) else {
            return;
        };
        let committed = owned.owner.sequence();
        let (due, pending) = std::mem::take(&mut owned.replies)
            .into_iter()
            .partition::<Vec<_>, _>(|reply| reply.sequence() <= committed);
        owned.replies = pending;
        for reply in due {
            match reply {
                PendingReply::Job { job, index, .. } => self.accept_submission(cell, &job, index),
                PendingReply::Key { key, nonce, .. } => {
                    let record = self.store.rows(cell).full_state.records().get(&key);
                    if record
                        .is_none_or(|record| (&record.sender, record.nonce) != (&identity, nonce))
                    {
                        self.report_violation(format!(
                            "the caller was told that key {} is recorded, but the journal \
                             has no such record",
                            key.as_str()
                        ));
                    }
                    self.use_request_record(cell, &key, nonce);
                }
            }
        }
    }

    /// Sends the request under its record, or withdraws the record.
    fn use_request_record(&mut self, cell: CellNumber, key: &RequestKey, nonce: u64) {
        if self.rng.random_bool(SENT_PROBABILITY) {
            let recorded = self.tracker.record_sent(key);
            self.check_result(recorded);
        } else if let Some((_, owned)) = self.random_owner(cell) {
            let _result = owned.owner.withdraw_request(key, nonce);
        }
    }

    /// Tells the caller that its submission succeeded.
    fn accept_submission(&mut self, cell: CellNumber, job: &JobName, index: usize) {
        if !self.store.rows(cell).full_state.jobs().contains(job) {
            self.report_violation(format!(
                "{job} was answered as done, but is not in the journal"
            ));
        }
        if let Some(submissions) = self.tracker.jobs.get_mut(job) {
            submissions.outcomes[index] = SubmissionOutcome::Done;
        }
    }

    /// Submits a job to an owner of its cell. The outcome is not run when there is no owner or it
    /// rejects the job, and unknown until the reply otherwise.
    fn submit_job_once(&mut self, job: &JobName) {
        let Some(submissions) = self.tracker.jobs.get_mut(job) else {
            return;
        };
        let index = submissions.outcomes.len();
        submissions.outcomes.push(SubmissionOutcome::NotRun);
        let (cell, spec) = (submissions.cell, submissions.spec.clone());
        let Some((instance, owned)) = self.random_owner(cell) else {
            return;
        };
        let submitted = owned.owner.submit_job(&spec);
        if !matches!(submitted, Ok(()) | Err(TransitionError::AlreadySubmitted)) {
            return;
        }
        let sequence = owned.owner.last_proposed();
        let job = job.clone();
        owned.replies.push(PendingReply::Job {
            job: job.clone(),
            index,
            sequence,
        });
        if let Some(submissions) = self.tracker.jobs.get_mut(&job) {
            submissions.outcomes[index] = SubmissionOutcome::Unknown;
        }
        self.complete_replies(instance, cell);
    }

    /// Records a random request key with an owner, as a caller does before it sends a request.
    fn record_request_key(&mut self) {
        let number = self.rng.random_range(0..KEY_COUNT);
        let key = format!("order-{number}");
        let key = RequestKey::try_from(key.as_str()).expect("order keys are valid request keys");
        let cell = CellNumber::new(u16::try_from(number).unwrap_or(0) % super::CELLS);
        let recorded_unix_s = 1_000_000 + self.now_ms / 1_000;
        let nonce = self.rng.random();
        let senders: Vec<_> = self.daemons.iter().map(SoakDaemon::identity).collect();
        let Some((instance, owned)) = self.random_owner(cell) else {
            return;
        };
        let record = RequestRecord {
            nonce,
            sender: senders[instance.index].clone(),
            recorded_unix_s,
        };
        if owned.owner.record_request(&key, &record).is_ok() {
            let sequence = owned.owner.last_proposed();
            owned.replies.push(PendingReply::Key {
                key,
                nonce,
                sequence,
            });
        }
        self.complete_replies(instance, cell);
    }

    /// Chooses a new job, or with probability 0.2 one that was submitted before.
    fn choose_job(&mut self) -> JobName {
        let count = self.tracker.jobs.len();
        if count > 0 && self.rng.random_bool(0.2) {
            let index = self.rng.random_range(0..count);
            let name = self.tracker.jobs.keys().nth(index);
            return name.expect("the index is below the number of jobs").clone();
        }
        let name = format!("job-{count:04}");
        let job = JobName::try_from(name.as_str()).expect("job names are valid");
        let customer = CUSTOMERS[self.rng.random_range(0..CUSTOMERS.len())];
        let spec = ArraySpec {
            job: job.clone(),
            customer: CustomerName::try_from(customer).expect("customer names are valid"),
            tasks: self.rng.random_range(1..8),
            size: ResourceSize {
                cpu_milli: self.rng.random_range(200..4_000),
                memory_mb: self.rng.random_range(100..5_000),
                accelerators: 0,
            },
            run_ms: self.rng.random_range(100..25_000),
            urgent: self.rng.random_bool(0.2),
            zones: Vec::new(),
        };
        let cell = CellNumber::new(self.rng.random_range(0..super::CELLS));
        let submissions = JobSubmissions {
            cell,
            spec,
            outcomes: Vec::new(),
        };
        self.tracker.jobs.insert(job.clone(), submissions);
        job
    }

    /// A running daemon that believes it owns the cell; the search starts at a random daemon.
    /// `None` when there is none.
    fn random_owner(&mut self, cell: CellNumber) -> Option<(DaemonInstance, &mut OwnedCell)> {
        let first = self.rng.random_range(0..self.daemons.len());
        let now_ms = self.now_ms;
        let (before, after) = self.daemons.split_at_mut(first);
        after
            .iter_mut()
            .chain(before)
            .filter(|daemon| daemon.alive && daemon.frozen_until_ms <= now_ms)
            .find_map(|daemon| {
                let instance = daemon.instance;
                let owned = daemon.cells.get_mut(&cell)?.owned()?;
                (!owned.releasing).then_some((instance, owned))
            })
    }
}
