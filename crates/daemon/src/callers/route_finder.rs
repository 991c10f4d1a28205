//! Finds a runner with a free slot.

use std::cell::RefCell;

use crate::callers::AdmissionState;
use crate::callers::AdmittedRoute;
use crate::callers::AnswerReservation;
use crate::callers::CallerRequest;
use crate::callers::WaitParameters;
use crate::callers::WaitingGuard;
use crate::context::DaemonContext;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_routing::RouteChoice;
use sapphirestile_routing::RouteQuery;
use sapphirestile_routing::RouteReach;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::WaitEstimate;

/// The bytes counted for the head of a request or of an answer.
pub(super) const HEAD_BYTES: u64 = 400;

/// Finds a runner with a free slot for one request.
pub struct RouteFinder<'r> {
    context: &'r DaemonContext,
    admission: &'r AdmissionState,
    request: &'r CallerRequest,
}

impl<'r> RouteFinder<'r> {
    /// Creates a finder that chooses runners for `request`.
    #[must_use]
    pub const fn new(
        context: &'r DaemonContext,
        admission: &'r AdmissionState,
        request: &'r CallerRequest,
    ) -> Self {
        Self {
            context,
            admission,
            request,
        }
    }

    /// Chooses a runner, other than `avoid`, and waits for a free slot as long as the
    /// deadline can be met.
    ///
    /// # Errors
    ///
    /// The reason why there is no runner; the request was not run.
    pub fn find(
        &self,
        deadline: MonoTime,
        avoid: Option<&RunnerName>,
    ) -> Result<AdmittedRoute<'r>, RouteRefusal> {
        let parameters = WaitParameters {
            service: self.request.service(),
            priority: self.request.priority(),
            deadline,
        };
        let clock = &self.context.clock;
        let try_find = || self.try_find(deadline, avoid);
        let guard = RefCell::new(None);
        let estimate = || {
            guard
                .borrow_mut()
                .get_or_insert_with(|| self.waiting_guard());
            self.estimate_wait()
        };
        self.admission
            .queues
            .wait_for(&parameters, clock, estimate, try_find)
    }

    /// Chooses a runner with a free slot; `None` if no slot is free.
    fn try_find(
        &self,
        deadline: MonoTime,
        avoid: Option<&RunnerName>,
    ) -> Result<Option<AdmittedRoute<'r>>, RouteRefusal> {
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

    /// Reserves bandwidth if the runner is behind the link between regions, which accepts
    /// less important requests only while its backlog is short. If the link does not
    /// accept the request, the slot is released and the request waits for a slot on this
    /// side of the link.
    fn admit(&self, choice: RouteChoice) -> Option<AdmittedRoute<'r>> {
        let reservation = match choice.reach() {
            RouteReach::Remote => Some(self.reserve_link(&choice)?),
            RouteReach::Zone | RouteReach::Region => None,
        };
        Some(AdmittedRoute {
            choice,
            reservation,
        })
    }

    fn reserve_link(&self, choice: &RouteChoice) -> Option<AnswerReservation<'r>> {
        let request_bytes = self.request.body().len() as u64 + HEAD_BYTES;
        let traffic = self.context.traffic.of(&choice.row().service);
        let answer_bytes = traffic.answer_size.bytes().max(HEAD_BYTES);
        let now = self.context.clock.now();
        let link = &self.admission.link_share;
        link.admit(request_bytes, answer_bytes, self.request.priority(), now)
    }

    /// Counts the request as waiting; `None` if the service has no runners.
    fn waiting_guard(&self) -> Option<WaitingGuard> {
        let routes = self.context.routes.load();
        let row = routes
            .rows()
            .find(|row| row.service.as_str() == self.request.service())?;
        Some(WaitingGuard::new(self.context.traffic.of(&row.service)))
    }

    /// The number of slots of the service, at least 1, and the mean latency of those of its
    /// runners whose latency is known, in microseconds; 0 if none is.
    fn estimate_wait(&self) -> WaitEstimate {
        let routes = self.context.routes.load();
        let (mut slots, mut latency_us, mut measured) = (0, 0, 0);
        for row in routes
            .rows()
            .filter(|row| row.service.as_str() == self.request.service())
        {
            slots += row.gauge.tokens();
            latency_us += row.gauge.latency_us();
            measured += u64::from(row.gauge.latency_us() > 0);
        }
        WaitEstimate {
            slots: slots.max(1),
            service_us: latency_us / measured.max(1),
        }
    }
}
