//! Handles the requests of operators.

use std::sync::Arc;

use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::header::AUTHORIZATION;

use crate::context::DaemonContext;
use crate::operators::AuthVerdict;
use crate::operators::OperatorCall;
use crate::operators::console_handler::ConsoleHandler;
use crate::operators::document_handler::DocumentHandler;
use crate::operators::job_handler::JobHandler;
use crate::operators::status_handler::StatusHandler;
use crate::operators::token_checker::TokenChecker;
use crate::serving::BodyError;
use crate::serving::HttpReply;
use crate::serving::HttpService;
use crate::serving::read_body;
use sapphirestile_wire::api::CallRefusal;
use sapphirestile_wire::peer::MemberState;

const BEARER: &str = "Bearer ";
const BODY_MAX_BYTES: usize = 2 * 1_024 * 1_024;

/// Authorizes the requests of operators and passes them to their handlers.
pub struct OperatorService {
    context: Arc<DaemonContext>,
    checker: TokenChecker,
}

impl OperatorService {
    /// Creates a service that has counted no wrong tokens yet.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self {
            context,
            checker: TokenChecker::default(),
        }
    }

    fn serve(&self, request: &mut Request<Body>) -> HttpReply {
        if request.uri().path().starts_with("/console") {
            return ConsoleHandler::new(&self.context, &self.checker).answer(request);
        }
        let method = request.method().as_str();
        let Some(call) = OperatorCall::find(method, request.uri().path()) else {
            return refusal(404, true, "there is no such call");
        };
        if call.changes_state()
            && let Err(reply) = self.check_operator(request)
        {
            return reply;
        }
        match read_body(request.body_mut(), BODY_MAX_BYTES) {
            Ok(body) => self.dispatch(&call, &body),
            Err(error) => body_refusal(error),
        }
    }

    fn dispatch(&self, call: &OperatorCall, body: &[u8]) -> HttpReply {
        let context = &self.context;
        let (documents, jobs) = (DocumentHandler::new(context), JobHandler::new(context));
        let status = StatusHandler::new(context);
        match call {
            OperatorCall::Status => status.status(),
            OperatorCall::Vms => status.vms(),
            OperatorCall::Dump => status.dump(),
            OperatorCall::Metrics => status.metrics(),
            OperatorCall::Health => text(200, "ok"),
            OperatorCall::Ready => self.ready(),
            OperatorCall::ShowDocument => documents.show(),
            OperatorCall::ChangeDocument => documents.change(body),
            OperatorCall::ChangeZone(zone) => documents.change_zone(zone, body),
            OperatorCall::SubmitJob => jobs.submit(body),
            OperatorCall::ListJobs => jobs.list(),
            OperatorCall::ShowJob(job) => jobs.show(job),
            OperatorCall::CancelJob(job) => jobs.cancel(job),
            OperatorCall::Explain(job, index) => jobs.explain(job, *index),
        }
    }

    fn ready(&self) -> HttpReply {
        match self.context.phase.get() {
            MemberState::Serving => text(200, "ready"),
            MemberState::Starting => text(503, "starting"),
            MemberState::Draining => text(503, "draining"),
        }
    }

    /// Checks the operators' token. A request without a token does not count as a failure.
    fn check_operator(&self, request: &Request<Body>) -> Result<(), HttpReply> {
        let header = request.headers().get(AUTHORIZATION);
        let offered = header.and_then(|value| value.to_str().ok());
        if !offered.is_some_and(|value| value.starts_with(BEARER)) {
            return Err(unauthorized());
        }
        let token = &self.context.settings.operators.token;
        match self.checker.check(&self.context, token.admits(offered)) {
            AuthVerdict::Right => Ok(()),
            AuthVerdict::Wrong => Err(unauthorized()),
            AuthVerdict::Paused { wait_ms } => {
                let reply = refusal(429, true, "too many wrong tokens from this address");
                Err(reply.with_retry_after(wait_ms))
            }
        }
    }
}

impl HttpService for OperatorService {
    fn answer(&self, request: &mut Request<Body>) -> HttpReply {
        self.serve(request)
    }

    fn refuse(&self) -> HttpReply {
        refusal(
            503,
            true,
            "the daemon is stopping; this call was not looked at",
        )
    }
}

/// A refusal with a JSON body. `not_run` is `true` if the call certainly had no effect.
pub(super) fn refusal(status: u16, not_run: bool, reason: &str) -> HttpReply {
    HttpReply::json(
        status,
        &CallRefusal {
            not_run,
            reason: reason.to_owned(),
        },
    )
}

fn text(status: u16, line: &str) -> HttpReply {
    HttpReply::new(
        status,
        "text/plain; charset=utf-8",
        format!("{line}\n").into_bytes(),
    )
}

fn unauthorized() -> HttpReply {
    refusal(401, true, "the operators' token is missing or wrong")
}

fn body_refusal(error: BodyError) -> HttpReply {
    match error {
        BodyError::Broken => refusal(400, true, "the body did not arrive whole"),
        BodyError::TooSlow => refusal(408, true, "the body arrived too slowly"),
        BodyError::TooLarge => refusal(413, true, "the body is larger than 2 MiB"),
    }
}
