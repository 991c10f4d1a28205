//! Handles the requests of callers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use oxhttp::model::Body;
use oxhttp::model::Request;

use crate::callers::AdmissionState;
use crate::callers::CallerRefusal;
use crate::callers::CallerReply;
use crate::callers::CallerRequest;
use crate::callers::RequestHandler;
use crate::context::DaemonContext;
use crate::serving::HttpReply;
use crate::serving::HttpService;
use sapphirestile_core::RequestKey;
use sapphirestile_core::ServiceEntry;
use sapphirestile_routing::RequestAttributes;
use sapphirestile_routing::RouteRefusal;

/// Reads each request of a caller, has it handled, and counts its outcome.
pub struct CallerService {
    context: Arc<DaemonContext>,
    admission: Arc<AdmissionState>,
}

impl CallerService {
    /// Creates a service whose requests share `admission`. The daemon's maintenance loop
    /// uses the same one.
    #[must_use]
    pub const fn new(context: Arc<DaemonContext>, admission: Arc<AdmissionState>) -> Self {
        Self { context, admission }
    }

    fn serve(&self, request: &mut Request<Body>) -> CallerReply {
        let max_body_bytes = self.context.settings.limits.caller_body_bytes;
        let request = match CallerRequest::read(request, max_body_bytes) {
            Ok(request) => request,
            Err(reply) => return reply,
        };
        let document = self.context.document.load();
        let services = &document.document().services;
        let Some(entry) = services.get(request.service()) else {
            return CallerReply::NotRun(RouteRefusal::NoService);
        };
        match self.attributes_of(&request, entry) {
            Ok(attributes) => {
                let reply = RequestHandler::new(&self.context, &self.admission, &request)
                    .handle(attributes);
                self.admission.queues.wake_one(request.service());
                reply
            }
            Err(reply) => reply,
        }
    }

    fn attributes_of(
        &self,
        request: &CallerRequest,
        entry: &ServiceEntry,
    ) -> Result<RequestAttributes, CallerReply> {
        let max_ms = entry.deadline_ms;
        let wait_ms = request.deadline_ms()?.unwrap_or(max_ms).min(max_ms);
        let deadline = self.context.clock.now().plus_millis(wait_ms);
        let idempotent = entry.idempotent;
        let key = match request.key()? {
            None if !idempotent => Some(random_key()),
            key => key,
        };
        Ok(RequestAttributes {
            idempotent,
            key,
            deadline,
        })
    }

    /// Returns the HTTP reply of a refusal, after adding it to the refusal log, which a dump
    /// contains.
    fn refuse_and_log(&self, request: &Request<Body>, refusal: CallerRefusal) -> HttpReply {
        let now = self.context.clock.now();
        let path = request.uri().path();
        self.context.refusals.record(now, path, refusal.clone());
        refusal.into_http()
    }

    fn count_outcome(&self, reply: &CallerReply, elapsed: Duration) {
        let metrics = &self.context.metrics;
        match reply {
            CallerReply::Answered(_) => {
                metrics.answered.inc();
                metrics.request_seconds.observe(elapsed.as_secs_f64());
            }
            CallerReply::Unknown | CallerReply::AlreadySent => {
                metrics.unknown.inc();
            }
            CallerReply::NotRun(_)
            | CallerReply::BadRequest(_)
            | CallerReply::TooLarge
            | CallerReply::TooSlow => {
                metrics.not_run.inc();
            }
        }
    }
}

impl HttpService for CallerService {
    fn answer(&self, request: &mut Request<Body>) -> HttpReply {
        let received = Instant::now();
        let reply = self.serve(request);
        self.count_outcome(&reply, received.elapsed());
        match reply.into_response() {
            Ok(answer) => CallerReply::Answered(answer).into_http(),
            Err(refusal) => self.refuse_and_log(request, refusal),
        }
    }

    fn refuse(&self) -> HttpReply {
        CallerReply::NotRun(RouteRefusal::Stopping).into_http()
    }
}

/// The key of a request without an idempotency key, which its caller cannot repeat.
fn random_key() -> RequestKey {
    let text = format!("{:032x}", rand::random::<u128>());
    RequestKey::try_from(text.as_str()).expect("32 hexadecimal digits are a valid key")
}
