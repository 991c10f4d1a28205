//! A job that its owner looks after.

use std::sync::Arc;

use crate::order::JobOrder;
use crate::order::TaskAddress;
use crate::owner::WaitKey;
use crate::planner::TaskDemand;
use crate::state::JobRecord;
use crate::state::TaskPhase;
use sapphirestile_core::MonoTime;

/// A job that its owner looks after.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// What its caller ordered.
    pub order: Arc<JobOrder>,
    /// What lasts of it.
    pub record: JobRecord,
    /// Where it waits, while a task of it can start.
    pub wait_key: Option<WaitKey>,
    /// When it was handed in.
    pub since: MonoTime,
    /// When it was over.
    pub ended: Option<MonoTime>,
}

impl JobEntry {
    /// The tasks that can start now, in their order.
    pub fn startable<'a>(
        &'a self,
        key: &'a WaitKey,
        service: &'a str,
    ) -> impl Iterator<Item = TaskDemand<'a>> {
        let steps = self.record.occurrences.iter().flat_map(|occurrence| {
            let open = (0..occurrence.steps.len())
                .filter(|&step| occurrence.is_step_open(&self.order, step));
            open.map(move |step| (occurrence, step))
        });
        steps.flat_map(move |(occurrence, step)| {
            let record = &occurrence.steps[step];
            let is_whole = !self.order.steps[step].is_gang
                || record
                    .tasks
                    .iter()
                    .all(|task| task.phase == TaskPhase::Waiting);
            let tasks = record.tasks.iter().enumerate().filter(move |_| is_whole);
            let waiting = tasks.filter(|(_, task)| task.phase == TaskPhase::Waiting);
            waiting.map(move |(index, _)| TaskDemand {
                task: TaskAddress {
                    job: key.job,
                    occurrence: occurrence.number,
                    step: u32::try_from(step).unwrap_or(u32::MAX),
                    index: u32::try_from(index).unwrap_or(u32::MAX),
                },
                service,
                step: &self.order.steps[step],
                image: None,
                needs_ticket: false,
            })
        })
    }
}
