//! Logs the owner's decisions.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::DecisionEvent;

/// Logs the owner's decisions. Assignments, successful runs and ends of waits are frequent, so
/// those of one step share a log line.
#[derive(Clone, Copy, Debug)]
pub struct DecisionLogger;

impl DecisionLogger {
    /// Logs the decisions of one step.
    pub fn write(cell: CellNumber, epoch: u64, decisions: &[DecisionEvent]) {
        let mut assigned = Vec::new();
        let mut done = Vec::new();
        let mut waits = Vec::new();
        for decision in decisions {
            match decision {
                DecisionEvent::Assigned { task, run, worker } => {
                    assigned.push(format!("{task}#{run}@{worker}"));
                }
                DecisionEvent::RunEnded {
                    task, run, cause, ..
                } if cause.is_done() => done.push(format!("{task}#{run}")),
                DecisionEvent::WaitEnded { .. } => waits.extend(wait_text(decision)),
                _ => Self::write_one(cell, epoch, decision),
            }
        }
        if !waits.is_empty() {
            let (tasks, waits) = (waits.len(), waits.join("; "));
            tracing::info!(%cell, epoch, tasks, waits, "long-running tasks have waited");
        }
        if !assigned.is_empty() || !done.is_empty() {
            let (assigned, done) = (assigned.join(" "), done.join(" "));
            tracing::info!(%cell, epoch, assigned, done, "tasks assigned or done");
        }
    }

    /// Logs a decision that has a line of its own.
    fn write_one(cell: CellNumber, epoch: u64, decision: &DecisionEvent) {
        match decision {
            DecisionEvent::Assigned { .. } | DecisionEvent::WaitEnded { .. } => {}
            DecisionEvent::WaitsRestored {
                tasks,
                longest,
                idle_ms,
            } => {
                tracing::info!(
                    %cell, epoch, tasks, %longest, idle_ms,
                    "long-running tasks wait in the loaded cell"
                );
            }
            DecisionEvent::RunEnded {
                task,
                run,
                worker,
                cause,
                age_ms,
            } => {
                tracing::info!(%cell, epoch, %task, run, %worker, ?cause, age_ms, "run ended");
            }
            DecisionEvent::StopRequested {
                task,
                run,
                worker,
                cause,
                age_ms,
            } => {
                tracing::info!(%cell, epoch, %task, run, %worker, ?cause, age_ms, "stop requested");
            }
            DecisionEvent::JobWaits { .. } | DecisionEvent::PassedOver { .. } => {
                Self::write_wait(cell, epoch, decision);
            }
            DecisionEvent::WorkerRestarted {
                worker,
                stored_end,
                incarnation,
            } => {
                let earlier_unix_ms = stored_end.incarnation.unix_ms();
                let (stored_end, life_unix_ms) = (stored_end.number, incarnation.unix_ms());
                tracing::info!(%cell, epoch, %worker, earlier_unix_ms, life_unix_ms, stored_end, "worker restarted");
            }
            DecisionEvent::WorkerSilent { .. } | DecisionEvent::RunsGivenUp { .. } => {
                Self::write_silence(cell, epoch, decision);
            }
            DecisionEvent::Fenced { worker } => {
                tracing::warn!(%cell, epoch, %worker, "worker has seen a higher epoch");
            }
            DecisionEvent::RunsMissing {
                worker,
                runs,
                stored_end,
                first_end,
                ends,
            } => {
                let life_unix_ms = stored_end.incarnation.unix_ms();
                let stored_end = stored_end.number;
                tracing::info!(%cell, epoch, %worker, life_unix_ms, runs, stored_end, first_end, ends, "runs missing in a response");
            }
            DecisionEvent::Advised { step, asked, good } => {
                tracing::info!(%cell, epoch, %step, asked, good, "advisor call ended");
            }
            DecisionEvent::JobEnded {
                job,
                standing,
                age_ms,
            } => {
                tracing::info!(%cell, epoch, %job, ?standing, age_ms, "job ended");
            }
            DecisionEvent::JobMoved { .. }
            | DecisionEvent::TaskTransferred { .. }
            | DecisionEvent::TaskDelayed { .. }
            | DecisionEvent::TaskReceived { .. } => Self::write_move(cell, epoch, decision),
        }
    }

    /// Logs that a worker does not respond, or that its runs are given up.
    fn write_silence(cell: CellNumber, epoch: u64, decision: &DecisionEvent) {
        match decision {
            DecisionEvent::WorkerSilent {
                worker,
                runs,
                is_listed,
                has_responded,
                is_replaced,
                lease_left_ms,
            } => {
                tracing::info!(
                    %cell, epoch, %worker, runs, is_listed, has_responded, is_replaced,
                    lease_left_ms, "worker does not respond; its runs wait for its leases"
                );
            }
            DecisionEvent::RunsGivenUp {
                worker,
                runs,
                kept,
                is_listed,
                response_age_ms,
                poll_age_ms,
            } => {
                tracing::info!(
                    %cell, epoch, %worker, runs, kept, is_listed, response_age_ms, poll_age_ms,
                    "runs of a silent worker are given up"
                );
            }
            _ => {}
        }
    }

    /// Logs that a job or a task goes to another cell, or waits for one.
    fn write_move(cell: CellNumber, epoch: u64, decision: &DecisionEvent) {
        match decision {
            DecisionEvent::JobMoved {
                job,
                target,
                age_ms,
            } => {
                tracing::info!(%cell, epoch, %job, %target, age_ms, "job moves to another cell");
            }
            DecisionEvent::TaskTransferred {
                task,
                run,
                target,
                is_return,
                waited_ms,
            } => {
                tracing::info!(
                    %cell, epoch, %task, run, %target, is_return, waited_ms,
                    "task without a worker goes to another cell"
                );
            }
            DecisionEvent::TaskDelayed {
                task,
                cpu_milli,
                waited_ms,
                tasks,
                is_guest,
                is_transferring,
                declined,
                census,
            } => {
                tracing::info!(
                    %cell, epoch, %task, cpu_milli, waited_ms, tasks, is_guest, is_transferring,
                    declined,
                    cells = census.cells,
                    cells_with_room = census.cells_with_room,
                    largest_free_cpu_milli = census.largest_free_cpu_milli,
                    newest_ms = census.newest_ms,
                    oldest_ms = census.oldest_ms,
                    "task waits for a worker of another cell"
                );
            }
            DecisionEvent::TaskReceived {
                task,
                run,
                from,
                idle_ms,
            } => {
                tracing::info!(%cell, epoch, %task, run, %from, idle_ms, "task came from another cell");
            }
            _ => {}
        }
    }

    /// Logs why a task waits.
    fn write_wait(cell: CellNumber, epoch: u64, decision: &DecisionEvent) {
        match decision {
            DecisionEvent::JobWaits {
                task,
                age_ms,
                idle_ms,
                runs,
                moves,
                is_limited,
                class,
                waiting,
                census,
            } => {
                tracing::info!(
                    %cell, epoch, %task, age_ms, idle_ms, runs, moves, is_limited, ?class, waiting,
                    unusable = census.unusable,
                    unsuitable = census.unsuitable,
                    kept = census.kept,
                    too_small = census.too_small,
                    occupied_by_short = census.occupied_by_short,
                    occupied_by_long = census.occupied_by_long,
                    little_memory = census.little_memory,
                    little_idle_cpu = census.little_idle_cpu,
                    high_latency = census.high_latency,
                    interference = census.interference,
                    "job waits with nothing running"
                );
            }
            DecisionEvent::PassedOver {
                task,
                cpu_milli,
                census,
            } => {
                tracing::info!(
                    %cell, epoch, %task, cpu_milli,
                    unusable = census.unusable,
                    unsuitable = census.unsuitable,
                    kept = census.kept,
                    too_small = census.too_small,
                    occupied_by_short = census.occupied_by_short,
                    occupied_by_long = census.occupied_by_long,
                    largest_free_cpu_milli = census.largest_free_cpu_milli,
                    "no worker for a long-running task"
                );
            }
            _ => {}
        }
    }
}

/// Text of the end of a wait: the task with its next run, where it goes, how long it waited
/// here and since its latest run, and what kept it.
fn wait_text(decision: &DecisionEvent) -> Option<String> {
    let DecisionEvent::WaitEnded {
        task,
        run,
        target,
        waited_ms,
        idle_ms,
        causes,
    } = decision
    else {
        return None;
    };
    let target = target.map_or_else(|| "worker".to_owned(), |cell| format!("cell {cell}"));
    let idle_ms = idle_ms.map_or_else(|| "unknown".to_owned(), |idle_ms| idle_ms.to_string());
    Some(format!(
        "{task}#{run} to {target}: waited_ms={waited_ms} idle_ms={idle_ms} {causes}"
    ))
}
