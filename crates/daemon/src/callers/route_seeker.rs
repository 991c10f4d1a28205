//! Finds a runner with a free slot.

use std::cell::RefCell;

use crate::callers::AnswerCharge;
use crate::callers::CallerDesk;
use crate::callers::CallerRequest;
use crate::callers::SoughtRoute;
use crate::callers::WaitingMark;
use crate::callers::WaitingWish;
use crate::context::DaemonContext;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_routing::RouteChoice;
use sapphirestile_routing::RouteQuery;
use sapphirestile_routing::RouteReach;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::WaitEstimate;

/// What the head of a request or of an answer counts for.
pub(super) const HEAD_BYTES: u64 = 400;

/// Finds a runner with a free slot for one request.
pub struct RouteSeeker<'r> {
    context: &'r DaemonContext,
    desk: &'r CallerDesk,
    request: &'r CallerRequest,
}

impl<'r> RouteSeeker<'r> {
    /// A seeker for `request`.
    #[must_use]
    pub const fn new(
        context: &'r DaemonContext,
        desk: &'r CallerDesk,
        request: &'r CallerRequest,
    ) -> Self {
        Self {
            context,
            desk,
            request,
        }
    }

    /// Chooses a runner, and waits for a slot while the deadline can be met.
    ///
    /// # Errors
    ///
    /// A [`RouteRefusal`]: the request was not run.
    pub fn seek(
        &self,
        deadline: MonoTime,
        avoid: Option<&RunnerName>,
    ) -> Result<SoughtRoute<'r>, RouteRefusal> {
        let wish = WaitingWish {
            service: self.request.service(),
            priority: self.request.priority(),
            deadline,
        };
        let clock = &self.context.clock;
        let look = || self.look(deadline, avoid);
        let mark = RefCell::new(None);
        let estimate = || {
            mark.borrow_mut().get_or_insert_with(|| self.mark_waiting());
            self.expect_wait()
        };
        self.desk.room.until(&wish, clock, estimate, look)
    }

    /// Chooses a runner with a free slot, if there is one.
    fn look(
        &self,
        deadline: MonoTime,
        avoid: Option<&RunnerName>,
    ) -> Result<Option<SoughtRoute<'r>>, RouteRefusal> {
        let query = RouteQuery {
            service: self.request.service(),
            avoid: avoid.map(RunnerName::as_str),
            now: self.context.clock.now(),
            deadline,
            random: rand::random(),
        };
        match self.context.routes.load().choose(&query) {
            Ok(choice) => Ok(self.admit(choice)),
            Err(RouteRefusal::NoSlot) => Ok(None),
            Err(refusal) => Err(refusal),
        }
    }

    /// The link between regions takes a request of low importance only while it
    /// has little to carry. The slot beyond a link that refuses is given back; one
    /// on this side may come free.
    fn admit(&self, choice: RouteChoice) -> Option<SoughtRoute<'r>> {
        let charge = match choice.reach() {
            RouteReach::Remote => Some(self.charge(&choice)?),
            RouteReach::Zone | RouteReach::Region => None,
        };
        Some(SoughtRoute { choice, charge })
    }

    fn charge(&self, choice: &RouteChoice) -> Option<AnswerCharge<'r>> {
        let request_bytes = self.request.body().len() as u64 + HEAD_BYTES;
        let traffic = self.context.traffic.of(&choice.row().service);
        let answer_bytes = traffic.answer_size.bytes().max(HEAD_BYTES);
        let now = self.context.clock.now();
        let link = &self.desk.link;
        link.admit(request_bytes, answer_bytes, self.request.priority(), now)
    }

    /// Counts the request as wanting a slot, unless its service has no runners.
    fn mark_waiting(&self) -> Option<WaitingMark> {
        let routes = self.context.routes.load();
        let row = routes
            .rows()
            .find(|row| row.service.as_str() == self.request.service())?;
        Some(WaitingMark::new(self.context.traffic.of(&row.service)))
    }

    /// What a request that waits has to expect.
    fn expect_wait(&self) -> WaitEstimate {
        let routes = self.context.routes.load();
        let (mut slots, mut latency_us, mut seen) = (0, 0, 0);
        for row in routes
            .rows()
            .filter(|row| row.service.as_str() == self.request.service())
        {
            slots += row.gauge.tokens();
            latency_us += row.gauge.latency_us();
            seen += u64::from(row.gauge.latency_us() > 0);
        }
        WaitEstimate {
            slots: slots.max(1),
            service_us: latency_us / seen.max(1),
        }
    }
}
