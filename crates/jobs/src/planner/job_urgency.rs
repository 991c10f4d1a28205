//! Which job comes first.

use crate::order::JobOrder;
use crate::planner::DurationBook;
use crate::planner::UrgencyClass;
use crate::policy::QueuePolicy;
use crate::state::JobRecord;
use crate::state::JobStanding;

/// A job that takes longer than this many times its objective is of no use.
const USELESS_FACTOR: u64 = 3;

/// The place of a waiting job: by priority, then by what is still to be had from it,
/// then by its deadline.
///
/// Under overload a queue in order of arrival has every job end late. Here a job that
/// has begun goes on, one that can no longer end in time lets those pass that can,
/// and one that is of no use any more runs on what nobody else wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobUrgency {
    /// The priority of its queue; 0 comes first.
    pub priority: u32,
    /// What is still to be had.
    pub class: UrgencyClass,
    /// When it should end, in milliseconds from now; negative when that has passed.
    pub left_ms: i64,
}

impl JobUrgency {
    /// The urgency of a job that was handed in `age_ms` ago.
    #[must_use]
    pub fn of(
        order: &JobOrder,
        record: &JobRecord,
        queue: Option<&QueuePolicy>,
        book: &DurationBook,
        age_ms: u64,
    ) -> Self {
        let priority = queue.map_or(order.terms.priority, |queue| queue.terms.priority);
        if order.is_lasting() || order.repeat.is_some() {
            return Self {
                priority,
                class: UrgencyClass::BegunInTime,
                left_ms: -signed(age_ms),
            };
        }
        let whole_ms = chain_ms(order, None, book);
        let left_chain_ms = chain_ms(order, Some(record), book);
        let (stretch, slack_ms) = queue.map_or((1.0, 0), |queue| (queue.stretch, queue.slack_ms));
        let objective_ms = stretched(whole_ms, stretch) + slack_ms;
        let end_ms = age_ms + left_chain_ms;
        let class = if end_ms > objective_ms * USELESS_FACTOR {
            UrgencyClass::Useless
        } else if end_ms > objective_ms {
            UrgencyClass::Late
        } else if record.standing == JobStanding::Waiting {
            UrgencyClass::InTime
        } else {
            UrgencyClass::BegunInTime
        };
        Self {
            priority,
            class,
            left_ms: signed(objective_ms) - signed(end_ms),
        }
    }
}

/// The longest chain of work of a job, or what is left of it, in milliseconds.
fn chain_ms(order: &JobOrder, record: Option<&JobRecord>, book: &DurationBook) -> u64 {
    let occurrence = record.and_then(|record| record.occurrences.first());
    let mut ends: Vec<u64> = Vec::with_capacity(order.steps.len());
    for (place, step) in order.steps.iter().enumerate() {
        let is_done = occurrence.is_some_and(|occurrence| occurrence.steps[place].is_done());
        let before = step.after.iter().map(|&before| ends[before as usize]).max();
        let own_ms = if is_done {
            0
        } else {
            book.step_ms(&order.queue, step)
        };
        ends.push(before.unwrap_or(0) + own_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations are positive and far below the largest number"
)]
fn stretched(milliseconds: u64, stretch: f64) -> u64 {
    (milliseconds as f64 * stretch) as u64
}

fn signed(milliseconds: u64) -> i64 {
    i64::try_from(milliseconds).unwrap_or(i64::MAX / 4)
}
