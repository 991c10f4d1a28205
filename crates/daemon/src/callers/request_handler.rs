//! Handles one request of a caller.

use std::time::Duration;
use std::time::Instant;

use crate::callers::AdmissionState;
use crate::callers::AnswerReservation;
use crate::callers::AttemptOutcome;
use crate::callers::CallerReply;
use crate::callers::CallerRequest;
use crate::callers::IdempotencyRecord;
use crate::callers::RouteFinder;
use crate::callers::route_finder::HEAD_BYTES;
use crate::context::DaemonContext;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::HttpResponse;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::runner::RunnerClient;
use sapphirestile_clients::runner::RunnerOutcome;
use sapphirestile_clients::runner::RunnerRequest;
use sapphirestile_core::RunnerName;
use sapphirestile_routing::AdmittedPhase;
use sapphirestile_routing::NotRunPhase;
use sapphirestile_routing::ReceivedPhase;
use sapphirestile_routing::RequestAttributes;
use sapphirestile_routing::RequestCycle;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::SentPhase;

const ANSWER_MAX_BYTES: usize = 64 * 1_024 * 1_024;

/// Takes one request through its [`RequestCycle`], with as many attempts as needed.
pub struct RequestHandler<'r> {
    context: &'r DaemonContext,
    admission: &'r AdmissionState,
    request: &'r CallerRequest,
    record: IdempotencyRecord<'r>,
}

impl<'r> RequestHandler<'r> {
    /// Creates a handler of `request`. A new random nonce distinguishes the request's record
    /// from those of other requests with the same key.
    #[must_use]
    pub fn new(
        context: &'r DaemonContext,
        admission: &'r AdmissionState,
        request: &'r CallerRequest,
    ) -> Self {
        Self {
            context,
            admission,
            request,
            record: IdempotencyRecord::new(context, rand::random()),
        }
    }

    /// Sends the request to runners until one answers or it cannot be sent again.
    #[must_use]
    pub fn handle(&self, attributes: RequestAttributes) -> CallerReply {
        self.admission.retry_budget.earn();
        let mut cycle = RequestCycle::receive(attributes);
        let mut avoid: Option<RunnerName> = None;
        let mut may_have_run = false;
        let finder = RouteFinder::new(self.context, self.admission, self.request);
        loop {
            let found = finder.find(cycle.attributes().deadline, avoid.as_ref());
            let outcome = match found {
                Ok(route) => self.attempt(cycle.admit(route.choice), route.reservation),
                Err(refusal) => self.refuse(cycle, refusal),
            };
            match outcome {
                AttemptOutcome::Finished(CallerReply::NotRun(_)) if may_have_run => {
                    return CallerReply::Unknown;
                }
                AttemptOutcome::Finished(reply) => return reply,
                AttemptOutcome::Retry {
                    cycle: retried,
                    avoid: runner,
                    may_have_run: attempt_may_have_run,
                } => {
                    cycle = *retried;
                    avoid = Some(runner);
                    may_have_run |= attempt_may_have_run;
                }
            }
        }
    }

    fn attempt(
        &self,
        cycle: RequestCycle<AdmittedPhase>,
        reservation: Option<AnswerReservation<'_>>,
    ) -> AttemptOutcome {
        if !cycle.needs_record() {
            return self.send(cycle, reservation);
        }
        match self.record.commit(cycle.attributes()) {
            Ok(proof) => self.send(cycle.with_record(proof), reservation),
            Err(reply) => {
                drop(cycle.refuse(RouteRefusal::NoRecord));
                AttemptOutcome::Finished(reply)
            }
        }
    }

    fn send(
        &self,
        cycle: RequestCycle<AdmittedPhase>,
        reservation: Option<AnswerReservation<'_>>,
    ) -> AttemptOutcome {
        let wait_ms = cycle
            .attributes()
            .deadline
            .millis_since(self.context.clock.now());
        if wait_ms == 0 {
            return self.finish_not_run(&cycle.refuse(RouteRefusal::DeadlinePassed));
        }
        let cycle = match cycle.send() {
            Ok(cycle) => cycle,
            Err(cycle) => return self.finish_not_run(&cycle.refuse(RouteRefusal::NoRecord)),
        };
        self.count_request(&cycle);
        let sent = Instant::now();
        let outcome = self.forward(&cycle, Duration::from_millis(wait_ms));
        match outcome {
            RunnerOutcome::Answered(answer) => {
                self.count_answer(&cycle, &answer, reservation);
                let latency_us = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
                drop(cycle.answer(latency_us));
                AttemptOutcome::Finished(CallerReply::Answered(Box::new(answer)))
            }
            RunnerOutcome::NotRun(_) => self.handle_declined(cycle),
            RunnerOutcome::Unknown(_) => {
                reservation.into_iter().for_each(AnswerReservation::keep);
                self.handle_unknown(cycle)
            }
        }
    }

    fn forward(&self, cycle: &RequestCycle<SentPhase>, timeout: Duration) -> RunnerOutcome {
        let address = PeerAddress::try_from(cycle.row().address);
        let address =
            address.expect("the routing table holds only addresses that can be connected to");
        let limits = CallLimits {
            timeout,
            response_max_bytes: ANSWER_MAX_BYTES,
        };
        let connections = self.context.connections.connections(address);
        let id = format!("{:032x}", rand::random::<u128>());
        RunnerClient::with_connections(connections, limits).forward(&RunnerRequest {
            id: &id,
            method: self.request.method(),
            path: self.request.target(),
            headers: &self.request.headers(),
            body: self.request.body(),
        })
    }

    /// Counts the bytes of the answer and settles their reservation. Those of the request
    /// were counted when it was sent.
    fn count_answer(
        &self,
        cycle: &RequestCycle<SentPhase>,
        answer: &HttpResponse,
        reservation: Option<AnswerReservation<'_>>,
    ) {
        let bytes = answer.body.len() as u64 + HEAD_BYTES;
        let traffic = self.context.traffic.of(&cycle.row().service);
        traffic.received.add(cycle.reach(), bytes);
        traffic.answer_size.observe(bytes);
        if let Some(reservation) = reservation {
            reservation.settle(bytes, self.context.clock.now());
        }
    }

    fn count_request(&self, cycle: &RequestCycle<SentPhase>) {
        let bytes = self.request.body().len() as u64 + HEAD_BYTES;
        let traffic = self.context.traffic.of(&cycle.row().service);
        traffic.sent.add(cycle.reach(), bytes);
    }

    /// The runner did not run the request, so another runner may.
    fn handle_declined(&self, cycle: RequestCycle<SentPhase>) -> AttemptOutcome {
        let avoid = cycle.row().runner.clone();
        match cycle.mark_declined().retry(&self.admission.retry_budget) {
            Ok(cycle) => AttemptOutcome::Retry {
                cycle: Box::new(cycle),
                avoid,
                may_have_run: false,
            },
            Err(cycle) => self.finish_not_run(&cycle),
        }
    }

    /// The runner may have run the request, so another runner may only if the request is
    /// allowed to run twice.
    fn handle_unknown(&self, cycle: RequestCycle<SentPhase>) -> AttemptOutcome {
        let avoid = cycle.row().runner.clone();
        let max_ms = self.context.settings.limits.request_max_ms;
        let release_time = self.context.clock.now().plus_millis(max_ms);
        match cycle
            .mark_unknown()
            .retry(&self.admission.retry_budget, release_time)
        {
            Ok(retried) => {
                self.admission.pending_releases.push(retried.slot);
                AttemptOutcome::Retry {
                    cycle: Box::new(retried.cycle),
                    avoid,
                    may_have_run: true,
                }
            }
            Err(cycle) => {
                self.admission
                    .pending_releases
                    .push(cycle.release_at(release_time));
                AttemptOutcome::Finished(CallerReply::Unknown)
            }
        }
    }

    fn refuse(&self, cycle: RequestCycle<ReceivedPhase>, refusal: RouteRefusal) -> AttemptOutcome {
        self.finish_not_run(&cycle.refuse(refusal))
    }

    /// Finishes a request that was not run and withdraws its record, so that the caller
    /// may send it again with the same key.
    fn finish_not_run(&self, cycle: &RequestCycle<NotRunPhase>) -> AttemptOutcome {
        if cycle.has_record()
            && let Some(key) = &cycle.attributes().key
        {
            self.record.withdraw(key);
        }
        AttemptOutcome::Finished(CallerReply::NotRun(cycle.refusal()))
    }
}
