//! One request and one job on the embedded default.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use crate::document::ChangeOutcome;
use crate::document::DocumentWriter;
use crate::lifecycle::DaemonLifecycle;
use crate::lifecycle::ServingPhase;
use crate::settings::DaemonSettings;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::HttpClient;
use sapphirestile_clients::http::HttpResponse;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::StepError;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::fleet::StandinFleet;
use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::DocumentChange;
use sapphirestile_wire::api::JobState;
use sapphirestile_wire::api::JobView;

const TOKEN: &str = "for-trying-out-only";
const CALL_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(5),
    response_max_bytes: 1_024 * 1_024,
};
const TRIES: u32 = 300;
const TRY_PAUSE: Duration = Duration::from_millis(100);
const STATUS_OK: u16 = 200;
const JOB: &[u8] = br#"{"job":"patterns","customer":"kennels","tasks":3,
    "size":{"cpu_milli":1000,"memory_mb":512,"accelerators":0},"run_ms":500}"#;

/// A daemon on the embedded default.
pub struct TryoutRun {
    platform: StandinFleet,
    daemon: DaemonLifecycle<ServingPhase>,
}

impl TryoutRun {
    /// Starts the platform's stand-ins and a daemon, and puts a configuration in
    /// force.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound or the configuration is not accepted.
    pub fn start() -> Result<Self, Report<StepError>> {
        let failed = || StepError::new("start try-out", "embedded platform");
        let plan = FleetPlan::default();
        let platform = StandinFleet::start(plan)?;
        let text = settings_text(&platform);
        let settings = DaemonSettings::try_from(text.as_str()).change_context_lazy(failed)?;
        let daemon = DaemonLifecycle::start(settings)?.serve()?;
        let change = DocumentChange {
            based_on: ConfigRevision::new(0),
            text: platform.document(),
            author: AuthorName::try_from("try-out").map_err(|_| Report::new(failed()))?,
            dry_run: false,
        };
        match DocumentWriter::new(daemon.context()).change(&change) {
            ChangeOutcome::Accepted(_) => Ok(Self { platform, daemon }),
            outcome => Err(Report::new(failed()).attach(format!("{outcome:?}"))),
        }
    }

    /// Sends one request and runs one job, and returns what was seen, a line each.
    ///
    /// # Errors
    ///
    /// When either does not come to its end in time.
    pub fn show(&self) -> Result<Vec<String>, Report<StepError>> {
        let addresses = self.daemon.addresses();
        let mut lines = vec![
            "for trying out only: the platform is a stand-in inside this process".to_owned(),
            format!("callers:   http://{}/sizing/", addresses.callers),
            format!(
                "operators: http://{}/v1/status (token: {TOKEN})",
                addresses.operators
            ),
        ];
        lines.push(show_request(addresses.callers)?);
        lines.push(show_job(addresses.operators)?);
        Ok(lines)
    }

    /// Stops the daemon as planned, and the platform after it. Returns whether
    /// everything was given up in time.
    #[must_use]
    pub fn finish(self) -> bool {
        let Self { platform, daemon } = self;
        let finished = daemon.drain().finish();
        drop(platform);
        finished
    }
}

fn settings_text(platform: &StandinFleet) -> String {
    format!(
        "[daemon]\nname = try-1\nzone = near-a\nregion = near\ncallers = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         [platform]\nstore = {}\nvms = {}\n\
         [peers]\nkey = {TOKEN}\n[operators]\ntoken = {TOKEN}\n\
         [limits]\nheartbeat_ms = 100\nsuspect_ms = 500\n",
        platform.store().address(),
        platform.vms().address()
    )
}

fn show_request(callers: SocketAddr) -> Result<String, Report<StepError>> {
    let headers = [];
    let request = CallRequest {
        method: "POST",
        path: "/sizing/fit",
        headers: &headers,
        body: b"neck 41 cm",
    };
    let answer = until("send request", callers, &request, |answer| {
        answer.status == STATUS_OK
    })?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Ok(format!(
        "request answered: status {}, body {body:?}",
        answer.status
    ))
}

fn show_job(operators: SocketAddr) -> Result<String, Report<StepError>> {
    let authorization = format!("Bearer {TOKEN}");
    let headers = [sapphirestile_clients::http::HeaderView {
        name: "authorization",
        value: authorization.as_bytes(),
    }];
    let submit = CallRequest {
        method: "POST",
        path: "/v1/jobs",
        headers: &headers,
        body: JOB,
    };
    until("submit job", operators, &submit, |answer| {
        answer.status == STATUS_OK
    })?;
    let show = CallRequest::get("/v1/jobs/patterns");
    let answer = until("watch job", operators, &show, |answer| {
        view_of(answer).is_some_and(|view| view.state == JobState::Finished)
    })?;
    let tasks = view_of(&answer).map_or(0, |view| view.tasks.len());
    Ok(format!("job patterns finished: {tasks} tasks"))
}

fn view_of(answer: &HttpResponse) -> Option<JobView> {
    serde_json::from_slice(&answer.body).ok()
}

/// Makes a call again and again until its answer is as wanted.
fn until(
    step: &'static str,
    address: SocketAddr,
    request: &CallRequest<'_>,
    wanted: impl Fn(&HttpResponse) -> bool,
) -> Result<HttpResponse, Report<StepError>> {
    let failed = || StepError::new(step, &address.to_string());
    let peer = PeerAddress::try_from(address).change_context_lazy(failed)?;
    let client = HttpClient::new(peer, CALL_LIMITS);
    for _ in 0..TRIES {
        match client.call(step, request) {
            Ok(answer) if wanted(&answer) => return Ok(answer),
            Ok(_) | Err(_) => thread::sleep(TRY_PAUSE),
        }
    }
    Err(Report::new(failed()))
}
