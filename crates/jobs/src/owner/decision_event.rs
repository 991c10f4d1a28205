//! Decisions of an owner.

use sapphirestile_core::CellNumber;
use sapphirestile_core::WorkerName;

use crate::advice::StepIdentity;
use crate::division::VacancyCensus;
use crate::owner::RunCause;
use crate::owner::StopCause;
use crate::owner::WaitCauses;
use crate::planner::PlacementCensus;
use crate::planner::UrgencyClass;
use crate::progress::JobStanding;
use crate::spec::JobIdentity;
use crate::spec::TaskIdentity;
use crate::worker::EndPosition;
use crate::worker::WorkerIncarnation;

/// A decision of an owner, for the log and the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecisionEvent {
    /// A task was assigned to a worker.
    Assigned {
        /// Task that the run executes.
        task: TaskIdentity,
        /// Number of the run.
        run: u32,
        /// Worker of the run.
        worker: WorkerName,
    },
    /// A run has ended.
    RunEnded {
        /// Task that the run executes.
        task: TaskIdentity,
        /// Number of the run.
        run: u32,
        /// Worker of the run.
        worker: WorkerName,
        /// Why the run has ended.
        cause: RunCause,
        /// Time since the run was assigned or its start was sent, in milliseconds.
        age_ms: u64,
    },
    /// A worker is asked to stop a run.
    StopRequested {
        /// Task that the run executes.
        task: TaskIdentity,
        /// Number of the run.
        run: u32,
        /// Worker of the run.
        worker: WorkerName,
        /// Why the run is stopped.
        cause: StopCause,
        /// Time since the run was assigned or its start was sent, in milliseconds.
        age_ms: u64,
    },
    /// The job that has waited longest with nothing running found no worker.
    JobWaits {
        /// First task of the job that can start.
        task: TaskIdentity,
        /// Time since the job was accepted, in milliseconds.
        age_ms: u64,
        /// Time since the job was accepted or its latest run ended, in milliseconds.
        idle_ms: u64,
        /// Number of the latest run of the task, also under earlier owners; 0 if it had none.
        runs: u32,
        /// Number of runs of the job that this owner has stopped because they slowed others.
        moves: u32,
        /// Whether no further overdue job gets a run now, because newer jobs wait as well.
        is_limited: bool,
        /// Whether the job can still meet its objective.
        class: UrgencyClass,
        /// Number of jobs with nothing running and a task that can start.
        waiting: usize,
        /// Why no worker can take the task.
        census: PlacementCensus,
    },
    /// A long-running task that could start found no worker.
    PassedOver {
        /// Task that waits.
        task: TaskIdentity,
        /// Processor time that the task needs, in thousandths of a processor.
        cpu_milli: u64,
        /// Why no worker can take it.
        census: PlacementCensus,
    },
    /// Another incarnation of a worker responded than the one before, or is listed.
    WorkerRestarted {
        /// Worker that has restarted.
        worker: WorkerName,
        /// Position up to which ends of the earlier incarnation were stored.
        stored_end: EndPosition,
        /// Later incarnation.
        incarnation: WorkerIncarnation,
    },
    /// A worker with runs does not respond. Its runs are given up once every lease that it
    /// may hold has ended.
    WorkerSilent {
        /// Worker that does not respond.
        worker: WorkerName,
        /// Number of its runs.
        runs: usize,
        /// Whether the worker is in the list.
        is_listed: bool,
        /// Whether the worker has responded to this owner before.
        has_responded: bool,
        /// Whether another incarnation answered at the worker's address.
        is_replaced: bool,
        /// Time until every lease that it may hold has ended, in milliseconds.
        lease_left_ms: u64,
    },
    /// Runs of a worker that does not respond are given up, since its leases have ended.
    RunsGivenUp {
        /// Worker that does not respond.
        worker: WorkerName,
        /// Number of runs that are given up.
        runs: usize,
        /// Number of runs that are kept, since they may have completed.
        kept: usize,
        /// Whether the worker is in the list.
        is_listed: bool,
        /// Time since the worker last responded, in milliseconds.
        response_age_ms: u64,
        /// Time since the latest poll without a response was sent, in milliseconds.
        poll_age_ms: u64,
    },
    /// A worker has refused a request because it has seen a higher epoch.
    Fenced {
        /// Worker that refused.
        worker: WorkerName,
    },
    /// A response of a worker does not list runs that it must list if they existed.
    RunsMissing {
        /// Worker that responded.
        worker: WorkerName,
        /// Number of runs that are missing.
        runs: usize,
        /// Position up to which ends of the incarnation that responded were stored before.
        stored_end: EndPosition,
        /// Sequence number of the first end in the response; 0 if it lists none.
        first_end: u64,
        /// Number of ends in the response.
        ends: usize,
    },
    /// A request to the advisor has an outcome.
    Advised {
        /// Step that the request was about.
        step: StepIdentity,
        /// Number of workers named in the request.
        asked: usize,
        /// Number of workers that may run the step; `None` if there was no answer.
        good: Option<usize>,
    },
    /// A waiting job moves to another cell.
    JobMoved {
        /// Job that moves.
        job: JobIdentity,
        /// Cell that the job moves to.
        target: CellNumber,
        /// Time since the job was accepted, in milliseconds.
        age_ms: u64,
    },
    /// A task that found no worker goes to another cell, or back to the home of its job.
    TaskTransferred {
        /// Task that is transferred.
        task: TaskIdentity,
        /// Number of the transfer, in the sequence of the task's runs.
        run: u32,
        /// Cell that gets the task.
        target: CellNumber,
        /// Whether the task returns to the home of its job.
        is_return: bool,
        /// Time since the task first found no worker here, in milliseconds.
        waited_ms: u64,
    },
    /// The task that has waited longest for a worker, or for one in another cell.
    TaskDelayed {
        /// Task that waits.
        task: TaskIdentity,
        /// Processor time that the task needs, in thousandths of a processor.
        cpu_milli: u64,
        /// Time since its latest run ended, over owners and cells as far as known, in
        /// milliseconds.
        waited_ms: u64,
        /// Number of tasks that wait here like this one.
        tasks: usize,
        /// Whether the home of its job is another cell.
        is_guest: bool,
        /// Whether its transfer is being stored.
        is_transferring: bool,
        /// Number of cells that have given the task back since it last ran.
        declined: usize,
        /// What the other cells report.
        census: VacancyCensus,
    },
    /// A task has come from another cell.
    TaskReceived {
        /// Task that waits for a worker here.
        task: TaskIdentity,
        /// Number of the transfer, in the sequence of the task's runs.
        run: u32,
        /// Cell that had the task.
        from: CellNumber,
        /// Time since its latest run ended when it left that cell, in milliseconds.
        idle_ms: u64,
    },
    /// A long-running task that has run waits here no more, after a wait of a second or more in
    /// all.
    WaitEnded {
        /// Task that waited.
        task: TaskIdentity,
        /// Number of its next run, or of the transfer.
        run: u32,
        /// Cell that the task leaves for; `None` if it is assigned to a worker.
        target: Option<CellNumber>,
        /// Time since the task first found no worker here, in milliseconds.
        waited_ms: u64,
        /// Time since its latest run ended, over owners and cells as far as known, in
        /// milliseconds; `None` if no owner has told.
        idle_ms: Option<u64>,
        /// What kept it here.
        causes: WaitCauses,
    },
    /// Long-running tasks that ran under an earlier owner wait in a cell that was loaded.
    WaitsRestored {
        /// Number of these tasks.
        tasks: usize,
        /// Task whose latest run ended first, of those of which that is known.
        longest: TaskIdentity,
        /// Time since its latest run ended, as far as known, in milliseconds; `None` if no
        /// owner has told.
        idle_ms: Option<u64>,
    },
    /// A job has ended.
    JobEnded {
        /// Job that has ended.
        job: JobIdentity,
        /// Final status of the job.
        standing: JobStanding,
        /// Time since the job was accepted, in milliseconds.
        age_ms: u64,
    },
}
