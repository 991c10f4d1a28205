//! Handles the requests to the console.

use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::header::COOKIE;

use crate::console::ConsoleMethod;
use crate::console::ConsoleOutcome;
use crate::console::ConsolePage;
use crate::console::ConsoleRequest;
use crate::console::ConsoleState;
use crate::console::ConsoleStep;
use crate::console::handle_request;
use crate::console::refuse_request;
use crate::console::render_outcome;
use crate::context::DaemonContext;
use crate::context::MonoClock;
use crate::document::ChangeOutcome;
use crate::document::DocumentWriter;
use crate::operators::AuthVerdict;
use crate::operators::operator_service::refusal;
use crate::operators::status_handler::StatusHandler;
use crate::operators::token_checker::TokenChecker;
use crate::serving::BodyError;
use crate::serving::HttpReply;
use crate::serving::read_body;
use sapphirestile_core::ConfigRevision;
use sapphirestile_wire::api::CallRefusal;
use sapphirestile_wire::api::DocumentAccepted;
use sapphirestile_wire::api::DocumentConflict;
use sapphirestile_wire::api::DocumentRefused;

/// Handles the requests to the console: reads the request and the state of the daemon,
/// which it passes to the pure functions of [`crate::console`], and writes the changes that
/// they return.
pub struct ConsoleHandler<'c> {
    context: &'c DaemonContext,
    checker: &'c TokenChecker,
}

impl<'c> ConsoleHandler<'c> {
    pub const fn new(context: &'c DaemonContext, checker: &'c TokenChecker) -> Self {
        Self { context, checker }
    }

    /// Handles one request: renders a page, or writes a change and renders its outcome.
    pub fn answer(&self, request: &mut Request<Body>) -> HttpReply {
        let method = match *request.method() {
            Method::GET => ConsoleMethod::Get,
            Method::POST => ConsoleMethod::Post,
            _ => return refusal(405, true, "the console takes GET and POST"),
        };
        let path = request.uri().path().to_owned();
        let cookie = request.headers().get(COOKIE);
        let cookie = cookie
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let max_bytes = ConsoleRequest::body_bytes_max(&path);
        let body = match read_body(request.body_mut(), max_bytes) {
            Ok(body) => body,
            Err(error) => return self.body_refusal(error),
        };
        let request = ConsoleRequest {
            method,
            path: &path,
            cookie: cookie.as_deref(),
            body: &body,
        };
        if let Some(AuthVerdict::Paused { wait_ms }) = self.check_sign_in(&request) {
            let message = "Too many wrong tokens came from your address. Wait a moment.";
            return self.refuse(429, message).with_retry_after(wait_ms);
        }
        match self.with_state(|state| handle_request(&request, state)) {
            ConsoleStep::Page(page) => reply(page),
            ConsoleStep::Change(change) => {
                let written = DocumentWriter::new(self.context).change(&change.change);
                let outcome = self.outcome_of(written, change.change.based_on);
                reply(self.with_state(|state| render_outcome(&change, &outcome, state)))
            }
        }
    }

    fn check_sign_in(&self, request: &ConsoleRequest<'_>) -> Option<AuthVerdict> {
        let offered = request.offered_token()?;
        let token = &self.context.settings.operators.token;
        Some(self.checker.check(self.context, token.matches(&offered)))
    }

    fn body_refusal(&self, error: BodyError) -> HttpReply {
        match error {
            BodyError::Broken => {
                self.refuse(400, "Nothing was done. The form did not arrive whole.")
            }
            BodyError::TooSlow => {
                self.refuse(408, "Nothing was done. The form arrived too slowly.")
            }
            BodyError::TooLarge => self.refuse(413, "The form is too large. Nothing was done."),
        }
    }

    fn refuse(&self, status: u16, message: &str) -> HttpReply {
        reply(self.with_state(|state| refuse_request(status, message, state)))
    }

    fn with_state<T>(&self, action: impl FnOnce(&ConsoleState<'_>) -> T) -> T {
        let document = self.context.document.load();
        let view = document.view();
        let recent = document.stored().map_or(&[][..], |stored| &stored.recent);
        let status = StatusHandler::new(self.context).daemon_status();
        action(&ConsoleState {
            view: &view,
            recent,
            status: &status,
            token: &self.context.settings.operators.token,
            now_unix_ms: MonoClock::unix_millis(),
        })
    }

    fn outcome_of(&self, outcome: ChangeOutcome, based_on: ConfigRevision) -> ConsoleOutcome {
        match outcome {
            ChangeOutcome::Checked => {
                let revision = self.context.document.load().revision();
                ConsoleOutcome::Accepted(DocumentAccepted { revision })
            }
            ChangeOutcome::Accepted(revision) => {
                ConsoleOutcome::Accepted(DocumentAccepted { revision })
            }
            ChangeOutcome::Refused(error) => ConsoleOutcome::Refused(DocumentRefused::from(&error)),
            ChangeOutcome::Conflict(current) => {
                ConsoleOutcome::Conflict(DocumentConflict { based_on, current })
            }
            ChangeOutcome::NotRun(reason) => ConsoleOutcome::Failed(CallRefusal {
                not_run: true,
                reason,
            }),
            ChangeOutcome::Unknown => ConsoleOutcome::Failed(CallRefusal {
                not_run: false,
                reason: "the store's answer was lost".to_owned(),
            }),
        }
    }
}

fn reply(page: ConsolePage) -> HttpReply {
    let mut reply = HttpReply::new(page.status, page.content_type, page.body.into_bytes());
    for (name, value) in ConsolePage::headers() {
        reply = reply.with_header(name, value);
    }
    if let Some(cookie) = &page.set_cookie {
        reply = reply.with_header("set-cookie", cookie);
    }
    if let Some(location) = page.location {
        reply = reply.with_header("location", location);
    }
    reply
}
