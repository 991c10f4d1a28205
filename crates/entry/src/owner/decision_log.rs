//! Writes an owner's decisions into the log.

use sapphirestile_jobs::DecisionEvent;

/// Writes an owner's decisions into the log. Assignments and runs that are done are
/// many and expected: all of one step of the owner share a line.
#[derive(Clone, Copy, Debug)]
pub struct DecisionLog;

impl DecisionLog {
    /// Writes the decisions of one step.
    pub fn write(epoch: u64, notes: &[DecisionEvent]) {
        let mut assigned = Vec::new();
        let mut done = Vec::new();
        for note in notes {
            match note {
                DecisionEvent::Assigned { task, run, worker } => {
                    assigned.push(format!("{task}#{run}@{worker}"));
                }
                DecisionEvent::RunEnded {
                    task, run, cause, ..
                } if cause.is_done() => done.push(format!("{task}#{run}")),
                DecisionEvent::RunEnded {
                    task,
                    run,
                    worker,
                    cause,
                    age_ms,
                } => {
                    tracing::info!(epoch, %task, run, %worker, ?cause, age_ms, "a run is over");
                }
                DecisionEvent::Advised { step, asked, good } => {
                    tracing::info!(epoch, %step, asked, good, "the advisor was asked");
                }
                DecisionEvent::JobEnded {
                    job,
                    standing,
                    age_ms,
                } => {
                    tracing::info!(epoch, %job, ?standing, age_ms, "a job is over");
                }
            }
        }
        if !assigned.is_empty() || !done.is_empty() {
            let (assigned, done) = (assigned.join(" "), done.join(" "));
            tracing::info!(epoch, assigned, done, "tasks were assigned or are done");
        }
    }
}
