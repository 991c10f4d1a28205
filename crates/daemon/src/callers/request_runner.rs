//! Takes one request through its cycle.

use std::time::Duration;
use std::time::Instant;

use crate::callers::AnswerCharge;
use crate::callers::AttemptOutcome;
use crate::callers::CallerDesk;
use crate::callers::CallerReply;
use crate::callers::CallerRequest;
use crate::callers::RouteSeeker;
use crate::callers::TryRecord;
use crate::callers::route_seeker::HEAD_BYTES;
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

/// Takes one request through its cycle, attempt by attempt.
pub struct RequestRunner<'r> {
    context: &'r DaemonContext,
    desk: &'r CallerDesk,
    request: &'r CallerRequest,
    record: TryRecord<'r>,
}

impl<'r> RequestRunner<'r> {
    /// A runner of `request`.
    #[must_use]
    pub fn new(
        context: &'r DaemonContext,
        desk: &'r CallerDesk,
        request: &'r CallerRequest,
    ) -> Self {
        Self {
            context,
            desk,
            request,
            record: TryRecord::new(context, rand::random()),
        }
    }

    /// Takes the request to its reply.
    #[must_use]
    pub fn run(&self, facts: RequestAttributes) -> CallerReply {
        self.desk.retries.earn();
        let mut cycle = RequestCycle::receive(facts);
        let mut avoid: Option<RunnerName> = None;
        let mut lost = false;
        let seeker = RouteSeeker::new(self.context, self.desk, self.request);
        loop {
            let sought = seeker.seek(cycle.attributes().deadline, avoid.as_ref());
            let outcome = match sought {
                Ok(route) => self.attempt(cycle.admit(route.choice), route.charge),
                Err(refusal) => self.refuse(cycle, refusal),
            };
            match outcome {
                AttemptOutcome::Ended(CallerReply::NotRun(_)) if lost => {
                    return CallerReply::Unknown;
                }
                AttemptOutcome::Ended(reply) => return reply,
                AttemptOutcome::Again {
                    cycle: again,
                    avoid: runner,
                    lost: may_run,
                } => {
                    cycle = *again;
                    avoid = Some(runner);
                    lost |= may_run;
                }
            }
        }
    }

    fn attempt(
        &self,
        cycle: RequestCycle<AdmittedPhase>,
        charge: Option<AnswerCharge<'_>>,
    ) -> AttemptOutcome {
        if !cycle.needs_record() {
            return self.send(cycle, charge);
        }
        match self.record.commit(cycle.attributes()) {
            Ok(proof) => self.send(cycle.with_record(proof), charge),
            Err(reply) => {
                drop(cycle.refuse(RouteRefusal::NoRecord));
                AttemptOutcome::Ended(reply)
            }
        }
    }

    fn send(
        &self,
        cycle: RequestCycle<AdmittedPhase>,
        charge: Option<AnswerCharge<'_>>,
    ) -> AttemptOutcome {
        let wait_ms = cycle
            .attributes()
            .deadline
            .millis_since(self.context.clock.now());
        if wait_ms == 0 {
            return self.end_not_run(&cycle.refuse(RouteRefusal::DeadlinePassed));
        }
        let cycle = match cycle.send() {
            Ok(cycle) => cycle,
            Err(cycle) => return self.end_not_run(&cycle.refuse(RouteRefusal::NoRecord)),
        };
        self.count_request(&cycle);
        let sent = Instant::now();
        let outcome = self.forward(&cycle, Duration::from_millis(wait_ms));
        match outcome {
            RunnerOutcome::Answered(answer) => {
                self.count_answer(&cycle, &answer, charge);
                let latency_us = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
                drop(cycle.answer(latency_us));
                AttemptOutcome::Ended(CallerReply::Answered(Box::new(answer)))
            }
            RunnerOutcome::NotRun(_) => self.decline(cycle),
            RunnerOutcome::Unknown(_) => {
                charge.into_iter().for_each(AnswerCharge::keep);
                self.lose(cycle)
            }
        }
    }

    fn forward(&self, cycle: &RequestCycle<SentPhase>, timeout: Duration) -> RunnerOutcome {
        let address = PeerAddress::try_from(cycle.row().address);
        let address = address.expect("a routing table holds addresses that can be called");
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

    /// Counts what came back; what the request itself cost was counted when it left.
    fn count_answer(
        &self,
        cycle: &RequestCycle<SentPhase>,
        answer: &HttpResponse,
        charge: Option<AnswerCharge<'_>>,
    ) {
        let bytes = answer.body.len() as u64 + HEAD_BYTES;
        let traffic = self.context.traffic.of(&cycle.row().service);
        traffic.received.add(cycle.reach(), bytes);
        traffic.answer_size.observe(bytes);
        if let Some(charge) = charge {
            charge.settle(bytes, self.context.clock.now());
        }
    }

    fn count_request(&self, cycle: &RequestCycle<SentPhase>) {
        let bytes = self.request.body().len() as u64 + HEAD_BYTES;
        let traffic = self.context.traffic.of(&cycle.row().service);
        traffic.sent.add(cycle.reach(), bytes);
    }

    /// The runner did not run the request, so another may.
    fn decline(&self, cycle: RequestCycle<SentPhase>) -> AttemptOutcome {
        let avoid = cycle.row().runner.clone();
        match cycle.mark_declined().retry(&self.desk.retries) {
            Ok(cycle) => AttemptOutcome::Again {
                cycle: Box::new(cycle),
                avoid,
                lost: false,
            },
            Err(cycle) => self.end_not_run(&cycle),
        }
    }

    /// The runner may have run the request, so another may only when that does no
    /// harm.
    fn lose(&self, cycle: RequestCycle<SentPhase>) -> AttemptOutcome {
        let avoid = cycle.row().runner.clone();
        let longest_ms = self.context.settings.limits.request_max_ms;
        let until = self.context.clock.now().plus_millis(longest_ms);
        match cycle.mark_unknown().retry(&self.desk.retries, until) {
            Ok(retried) => {
                self.desk.lot.park(retried.slot);
                AttemptOutcome::Again {
                    cycle: Box::new(retried.cycle),
                    avoid,
                    lost: true,
                }
            }
            Err(cycle) => {
                self.desk.lot.park(cycle.release_at(until));
                AttemptOutcome::Ended(CallerReply::Unknown)
            }
        }
    }

    fn refuse(&self, cycle: RequestCycle<ReceivedPhase>, refusal: RouteRefusal) -> AttemptOutcome {
        self.end_not_run(&cycle.refuse(refusal))
    }

    /// Ends a request that was not run, and takes its record back, so that the
    /// caller may try again with the same key.
    fn end_not_run(&self, cycle: &RequestCycle<NotRunPhase>) -> AttemptOutcome {
        if cycle.has_record()
            && let Some(key) = &cycle.attributes().key
        {
            self.record.withdraw(key);
        }
        AttemptOutcome::Ended(CallerReply::NotRun(cycle.refusal()))
    }
}
