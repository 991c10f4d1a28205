//! Takes requests of callers to runners.

use std::sync::Arc;
use std::time::Duration;

use oxhttp::model::Body;
use oxhttp::model::Request;

use crate::callers::CallerReply;
use crate::callers::CallerRequest;
use crate::callers::ParkingLot;
use crate::cells::CellDesk;
use crate::context::DaemonContext;
use crate::serving::HttpReply;
use crate::serving::HttpService;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ServiceEntry;
use sapphirestile_platform::http::CallLimits;
use sapphirestile_platform::http::PeerAddress;
use sapphirestile_platform::runner::RunnerClient;
use sapphirestile_platform::runner::RunnerOutcome;
use sapphirestile_platform::runner::RunnerRequest;
use sapphirestile_routing::AdmittedPhase;
use sapphirestile_routing::ReceivedPhase;
use sapphirestile_routing::RecordProof;
use sapphirestile_routing::RequestCycle;
use sapphirestile_routing::RequestFacts;
use sapphirestile_routing::RequestKey;
use sapphirestile_routing::RouteQuery;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerRequest;

const ANSWER_MAX_BYTES: usize = 64 * 1_024 * 1_024;
const MICROS_PER_MILLI: u64 = 1_000;

/// Takes each request of a caller through its cycle.
pub struct CallerService {
    context: Arc<DaemonContext>,
    lot: Arc<ParkingLot>,
}

impl CallerService {
    /// A service for one daemon.
    #[must_use]
    pub const fn new(context: Arc<DaemonContext>, lot: Arc<ParkingLot>) -> Self {
        Self { context, lot }
    }

    fn serve(&self, request: &mut Request<Body>) -> CallerReply {
        let body_max = self.context.settings.limits.caller_body_bytes;
        let request = match CallerRequest::read(request, body_max) {
            Ok(request) => request,
            Err(reply) => return reply,
        };
        let document = self.context.document.load();
        let services = &document.document().services;
        let Some(entry) = services.get(request.service()) else {
            return CallerReply::NotRun(RouteRefusal::NoService);
        };
        match self.facts_of(&request, entry) {
            Ok(facts) => self.route(&request, facts),
            Err(reply) => reply,
        }
    }

    fn facts_of(
        &self,
        request: &CallerRequest,
        entry: &ServiceEntry,
    ) -> Result<RequestFacts, CallerReply> {
        let wait_ms = request
            .deadline_ms()
            .unwrap_or(entry.deadline_ms)
            .min(entry.deadline_ms);
        let deadline = self.context.clock.now().plus_millis(wait_ms);
        let idempotent = entry.idempotent;
        let key = match request.key() {
            Some(text) => Some(checked_key(text)?),
            None if idempotent => None,
            None => Some(checked_key(&format!("{:032x}", rand::random::<u128>()))?),
        };
        Ok(RequestFacts {
            idempotent,
            key,
            deadline,
        })
    }

    fn route(&self, request: &CallerRequest, facts: RequestFacts) -> CallerReply {
        let deadline = facts.deadline;
        let cycle = RequestCycle::receive(facts);
        let query = RouteQuery {
            service: request.service(),
            avoid: None,
            now: self.context.clock.now(),
            deadline,
            random: rand::random(),
        };
        match self.context.routes.load().choose(&query) {
            Ok(choice) => self.record_and_send(request, cycle.admit(choice)),
            Err(refusal) => refuse(cycle, refusal),
        }
    }

    fn record_and_send(
        &self,
        request: &CallerRequest,
        cycle: RequestCycle<AdmittedPhase>,
    ) -> CallerReply {
        if !cycle.needs_record() {
            return self.send(request, cycle);
        }
        match self.record(&cycle) {
            Ok(proof) => self.send(request, cycle.with_record(proof)),
            Err(reply) => {
                drop(cycle.refuse(RouteRefusal::NoRecord));
                reply
            }
        }
    }

    /// Has the request recorded. Whatever goes wrong here, it is not sent.
    fn record(&self, cycle: &RequestCycle<AdmittedPhase>) -> Result<RecordProof, CallerReply> {
        let not_run = || CallerReply::NotRun(RouteRefusal::NoRecord);
        let key = cycle.facts().key.clone().ok_or_else(not_run)?;
        let cell = self
            .context
            .map()
            .ok_or_else(not_run)?
            .cell_of_key(key.as_str());
        let record = PeerRequest::RecordRequest(cell, key.as_str().to_owned());
        match CellDesk::new(&self.context).call(cell, record) {
            PeerAnswer::Recorded { epoch, sequence } => {
                Ok(RecordProof::committed(key, epoch, sequence))
            }
            PeerAnswer::AlreadyRecorded => Err(CallerReply::AlreadySent),
            _ => Err(not_run()),
        }
    }

    fn send(&self, request: &CallerRequest, cycle: RequestCycle<AdmittedPhase>) -> CallerReply {
        let deadline = cycle.facts().deadline;
        let wait_ms = deadline.millis_since(self.context.clock.now());
        if wait_ms == 0 {
            drop(cycle.refuse(RouteRefusal::DeadlinePassed));
            return CallerReply::NotRun(RouteRefusal::DeadlinePassed);
        }
        let Ok(cycle) = cycle.send() else {
            return CallerReply::NotRun(RouteRefusal::NoRecord);
        };
        let sent = self.context.clock.now();
        let outcome = match PeerAddress::try_from(cycle.row().address) {
            Ok(address) => forward(request, address, Duration::from_millis(wait_ms)),
            Err(_) => return decline(cycle.decline().refusal()),
        };
        match outcome {
            RunnerOutcome::Answered(answer) => {
                let waited_ms = self.context.clock.now().millis_since(sent);
                drop(cycle.answer(waited_ms * MICROS_PER_MILLI));
                CallerReply::Answered(Box::new(answer))
            }
            RunnerOutcome::NotRun(_) => decline(cycle.decline().refusal()),
            RunnerOutcome::Unknown(_) => {
                self.lot.park(cycle.lose().park(self.last_moment()));
                CallerReply::Unknown
            }
        }
    }

    /// When a request sent by now has ended at its runner, whatever it does.
    fn last_moment(&self) -> MonoTime {
        self.context
            .clock
            .now()
            .plus_millis(self.context.settings.limits.request_max_ms)
    }
}

impl HttpService for CallerService {
    fn answer(&self, request: &mut Request<Body>) -> HttpReply {
        self.serve(request).into_http()
    }

    fn refuse(&self) -> HttpReply {
        CallerReply::NotRun(RouteRefusal::Stopping).into_http()
    }
}

fn forward(request: &CallerRequest, address: PeerAddress, timeout: Duration) -> RunnerOutcome {
    let limits = CallLimits {
        timeout,
        answer_max_bytes: ANSWER_MAX_BYTES,
    };
    let id = format!("{:032x}", rand::random::<u128>());
    RunnerClient::new(address, limits).forward(&RunnerRequest {
        id: &id,
        method: request.method(),
        path: request.target(),
        headers: &request.headers(),
        body: request.body(),
    })
}

fn checked_key(text: &str) -> Result<RequestKey, CallerReply> {
    let fault = "an idempotency key has 1 to 128 visible ASCII characters";
    RequestKey::try_from(text).map_err(|_| CallerReply::BadRequest(fault))
}

fn refuse(cycle: RequestCycle<ReceivedPhase>, refusal: RouteRefusal) -> CallerReply {
    CallerReply::NotRun(cycle.refuse(refusal).refusal())
}

const fn decline(refusal: RouteRefusal) -> CallerReply {
    CallerReply::NotRun(refusal)
}
