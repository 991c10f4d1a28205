//! Planned stop of the ports behind a gate.

use std::marker::PhantomData;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Refusing;
use crate::RequestGate;
use crate::SendingAway;
use crate::StopReport;

/// The time without a new request after which the ports count as quiet. A caller that has
/// read an answer and sends at once is heard within it.
const QUIET: Duration = Duration::from_millis(100);

/// A planned stop of the ports behind a gate; `Phase` is how far it has come.
///
/// Callers use open connections until the process is gone. So once new connections go to other
/// processes, each answer ends its connection, later each request is refused, and the process
/// ends when all that was read is answered and nothing more arrives.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
///
/// use sapphirestile_serving::PlannedStop;
/// use sapphirestile_serving::RequestGate;
///
/// let gate = Arc::new(RequestGate::default());
/// let stop = PlannedStop::begin(Arc::clone(&gate));
/// drop(gate.enter());
/// let stop = stop.refuse();
/// drop(gate.enter());
/// let second = Duration::from_secs(1);
/// let report = stop.finish(second, second);
/// assert_eq!((report.read, report.refused, report.unanswered), (2, 1, 0));
/// ```
#[derive(Debug)]
pub struct PlannedStop<Phase> {
    gate: Arc<RequestGate>,
    phase: PhantomData<Phase>,
}

impl PlannedStop<SendingAway> {
    /// Lets each answer end its connection; requests are still served.
    #[must_use]
    pub fn begin(gate: Arc<RequestGate>) -> Self {
        gate.send_away();
        Self {
            gate,
            phase: PhantomData,
        }
    }

    /// Refuses further requests.
    #[must_use]
    pub fn refuse(self) -> PlannedStop<Refusing> {
        self.gate.close();
        PlannedStop {
            gate: self.gate,
            phase: PhantomData,
        }
    }
}

impl PlannedStop<Refusing> {
    /// Waits until every request that was read has its answer, at most for `limit`.
    /// Returns whether that is so.
    #[must_use]
    pub fn wait_answered(&self, limit: Duration) -> bool {
        self.gate.wait_idle(limit)
    }

    /// Waits until every request that was read has its answer and no more arrive. If callers
    /// go on sending until `quiet_limit`, it ends as soon as nothing is in flight; it takes
    /// `limit` at most. The process is to end at once after it.
    #[must_use]
    pub fn finish(self, quiet_limit: Duration, limit: Duration) -> StopReport {
        let started = Instant::now();
        let left = |limit: Duration| limit.saturating_sub(started.elapsed());
        let quiet_limit = quiet_limit.min(limit);
        while !left(quiet_limit).is_zero() {
            let arrivals = self.gate.arrivals();
            thread::sleep(QUIET.min(left(quiet_limit)));
            let is_answered = self.gate.wait_idle(left(quiet_limit));
            if is_answered && self.gate.arrivals() == arrivals {
                return self.report();
            }
        }
        // The report says how many are in flight if it is in vain.
        let _is_answered = self.gate.wait_idle(left(limit));
        self.report()
    }

    fn report(&self) -> StopReport {
        StopReport {
            read: self.gate.arrivals(),
            refused: self.gate.refusals(),
            unanswered: self.gate.in_flight(),
        }
    }
}
