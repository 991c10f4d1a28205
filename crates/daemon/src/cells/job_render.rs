//! Conversion of jobs between the cell state and the operators' API.

use sapphirestile_cells::ArrayProgress;
use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::CellState;
use sapphirestile_cells::TaskEntry;
use sapphirestile_cells::TaskOutcome;
use sapphirestile_core::CellNumber;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::TaskName;
use sapphirestile_wire::api::JobState;
use sapphirestile_wire::api::JobSubmission;
use sapphirestile_wire::api::JobSummary;
use sapphirestile_wire::api::JobView;
use sapphirestile_wire::api::TaskState;
use sapphirestile_wire::api::TaskView;

/// Converts a submission to the job spec that the cell stores, with the zones sorted
/// and without duplicates.
pub fn spec_of(submission: &JobSubmission) -> ArraySpec {
    let mut zones = submission.zones.clone().unwrap_or_default();
    zones.sort();
    zones.dedup();
    ArraySpec {
        job: submission.job.clone(),
        customer: submission.customer.clone(),
        tasks: submission.tasks,
        size: submission.size,
        run_ms: submission.run_ms,
        urgent: submission.urgent,
        zones,
    }
}

/// Converts a stored job spec back to its submission.
pub fn submission_of(spec: &ArraySpec) -> JobSubmission {
    let zones = if spec.zones.is_empty() {
        None
    } else {
        Some(spec.zones.clone())
    };
    JobSubmission {
        job: spec.job.clone(),
        customer: spec.customer.clone(),
        tasks: spec.tasks,
        size: spec.size,
        run_ms: spec.run_ms,
        urgent: spec.urgent,
        zones,
    }
}

/// Returns a job with all its tasks.
///
/// The reasons of the tasks are `None`; the caller sets them.
pub fn view_of(cell: CellNumber, state: &CellState, progress: &ArrayProgress) -> JobView {
    let tasks: Vec<TaskView> = tasks_of(state, progress).map(render_task).collect();
    JobView {
        submission: submission_of(&progress.spec),
        cell,
        state: state_of(progress, &tasks),
        tasks,
    }
}

/// Returns a job without its tasks, with counts of them, for lists of jobs.
pub fn summary_of(cell: CellNumber, state: &CellState, progress: &ArrayProgress) -> JobSummary {
    let tasks: Vec<TaskView> = tasks_of(state, progress).map(render_task).collect();
    JobSummary {
        job: progress.spec.job.clone(),
        customer: progress.spec.customer.clone(),
        cell,
        state: state_of(progress, &tasks),
        urgent: progress.spec.urgent,
        tasks: progress.spec.tasks,
        running: count(&tasks, TaskState::Running),
        finished: count(&tasks, TaskState::Finished),
        failed: count(&tasks, TaskState::Failed),
    }
}

/// Explains the state of a job and of its tasks, or of the task `index` only, one line
/// each.
pub fn explain(view: &JobView, index: Option<TaskIndex>) -> Vec<String> {
    let mut lines = vec![format!(
        "job {} of {} is {}",
        view.submission.job, view.submission.customer, view.state
    )];
    lines.push(format!("its cell is {}", view.cell));
    for task in view
        .tasks
        .iter()
        .filter(|task| index.is_none_or(|index| task.index == index))
    {
        lines.push(explain_task(task));
    }
    lines
}

fn explain_task(task: &TaskView) -> String {
    let place = task
        .worker
        .as_ref()
        .map_or(String::new(), |worker| format!(" on {worker}"));
    let reason = task
        .reason
        .as_ref()
        .map_or(String::new(), |reason| format!(": {reason}"));
    let TaskView {
        index,
        state,
        attempt,
        checkpoint_ms,
        ..
    } = task;
    format!(
        "task {index} is {state}{place}, attempt {attempt}, checkpoint {checkpoint_ms} ms{reason}"
    )
}

fn tasks_of<'s>(
    state: &'s CellState,
    progress: &'s ArrayProgress,
) -> impl Iterator<Item = (&'s TaskName, &'s TaskEntry)> {
    state
        .tasks()
        .iter()
        .filter(|(task, _)| task.job == progress.spec.job)
}

fn render_task((task, entry): (&TaskName, &TaskEntry)) -> TaskView {
    let index = task.index;
    match entry {
        TaskEntry::Waiting(cycle) => TaskView {
            index,
            state: TaskState::Waiting,
            attempt: cycle.phase().attempt,
            worker: None,
            checkpoint_ms: cycle.phase().checkpoint_ms,
            reason: None,
        },
        TaskEntry::Assigned(cycle) => TaskView {
            index,
            state: TaskState::Running,
            attempt: cycle.phase().attempt,
            worker: Some(cycle.phase().worker.clone()),
            checkpoint_ms: cycle.phase().checkpoint_ms,
            reason: None,
        },
        TaskEntry::Ended(cycle) => TaskView {
            index,
            state: ended_state(cycle.phase().outcome),
            attempt: cycle.phase().attempt,
            worker: None,
            checkpoint_ms: 0,
            reason: None,
        },
    }
}

const fn ended_state(outcome: TaskOutcome) -> TaskState {
    match outcome {
        TaskOutcome::Finished => TaskState::Finished,
        TaskOutcome::Failed => TaskState::Failed,
        TaskOutcome::Cancelled => TaskState::Cancelled,
    }
}

fn state_of(progress: &ArrayProgress, tasks: &[TaskView]) -> JobState {
    let any = |state: TaskState| tasks.iter().any(|task| task.state == state);
    if progress.open_tasks > 0 {
        return if any(TaskState::Running) {
            JobState::Running
        } else {
            JobState::Waiting
        };
    }
    if any(TaskState::Failed) {
        JobState::Failed
    } else if any(TaskState::Cancelled) {
        JobState::Cancelled
    } else {
        JobState::Finished
    }
}

fn count(tasks: &[TaskView], state: TaskState) -> u32 {
    let found = tasks.iter().filter(|task| task.state == state).count();
    u32::try_from(found).unwrap_or(u32::MAX)
}
