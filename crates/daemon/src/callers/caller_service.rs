//! Takes requests of callers to runners.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use oxhttp::model::Body;
use oxhttp::model::Request;

use crate::callers::CallerDesk;
use crate::callers::CallerRefusal;
use crate::callers::CallerReply;
use crate::callers::CallerRequest;
use crate::callers::RequestRunner;
use crate::context::DaemonContext;
use crate::serving::HttpReply;
use crate::serving::HttpService;
use sapphirestile_core::RequestKey;
use sapphirestile_core::ServiceEntry;
use sapphirestile_routing::RequestAttributes;
use sapphirestile_routing::RouteRefusal;

/// Reads each request of a caller, has it run, and counts what became of it.
pub struct CallerService {
    context: Arc<DaemonContext>,
    desk: Arc<CallerDesk>,
}

impl CallerService {
    /// A service for one daemon.
    #[must_use]
    pub const fn new(context: Arc<DaemonContext>, desk: Arc<CallerDesk>) -> Self {
        Self { context, desk }
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
            Ok(facts) => {
                let reply = RequestRunner::new(&self.context, &self.desk, &request).run(facts);
                self.desk.room.wake_one(request.service());
                reply
            }
            Err(reply) => reply,
        }
    }

    fn facts_of(
        &self,
        request: &CallerRequest,
        entry: &ServiceEntry,
    ) -> Result<RequestAttributes, CallerReply> {
        let longest_ms = entry.deadline_ms;
        let wait_ms = request.deadline_ms()?.unwrap_or(longest_ms).min(longest_ms);
        let deadline = self.context.clock.now().plus_millis(wait_ms);
        let idempotent = entry.idempotent;
        let key = match request.key()? {
            None if !idempotent => Some(fresh_key()),
            key => key,
        };
        Ok(RequestAttributes {
            idempotent,
            key,
            deadline,
        })
    }

    /// Notes a refusal, so that a dump can say why.
    fn refuse_noted(&self, request: &Request<Body>, refusal: CallerRefusal) -> HttpReply {
        let now = self.context.clock.now();
        let path = request.uri().path();
        self.context.refusals.record(now, path, refusal.clone());
        refusal.into_http()
    }

    fn count(&self, reply: &CallerReply, elapsed: Duration) {
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
        self.count(&reply, received.elapsed());
        match reply.into_answer() {
            Ok(answer) => CallerReply::Answered(answer).into_http(),
            Err(refusal) => self.refuse_noted(request, refusal),
        }
    }

    fn refuse(&self) -> HttpReply {
        CallerReply::NotRun(RouteRefusal::Stopping).into_http()
    }
}

/// The key of a request that its caller does not try again.
fn fresh_key() -> RequestKey {
    let text = format!("{:032x}", rand::random::<u128>());
    RequestKey::try_from(text.as_str()).expect("hexadecimal digits make a key")
}
