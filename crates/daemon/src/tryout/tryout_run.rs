//! A run of the demonstration.

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
const ATTEMPTS_MAX: u32 = 300;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);
const STATUS_OK: u16 = 200;
const JOB: &[u8] = br#"{"job":"patterns","customer":"kennels","tasks":3,
    "size":{"cpu_milli":1000,"memory_mb":512,"accelerators":0},"run_ms":500}"#;

/// A daemon with stand-ins for the platform in the same process.
pub struct TryoutRun {
    platform: StandinFleet,
    daemon: DaemonLifecycle<ServingPhase>,
}

impl TryoutRun {
    /// Starts the stand-ins for the platform and a daemon, and puts a document in force.
    ///
    /// # Errors
    ///
    /// If a port cannot be bound or the document is not accepted.
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

    /// Sends one request and runs one job, and returns a report, line by line.
    ///
    /// # Errors
    ///
    /// If the request is not answered or the job does not finish in time.
    pub fn run_workload(&self) -> Result<Vec<String>, Report<StepError>> {
        let addresses = self.daemon.addresses();
        let mut lines = vec![
            "for trying out only: the platform is a stand-in inside this process".to_owned(),
            format!("callers:   http://{}/sizing/", addresses.callers),
            format!(
                "operators: http://{}/v1/status (token: {TOKEN})",
                addresses.operators
            ),
        ];
        lines.push(run_request(addresses.callers)?);
        lines.push(run_job(addresses.operators)?);
        Ok(lines)
    }

    /// Drains and stops the daemon, then the platform. Returns `true` if the daemon released
    /// everything in time.
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

fn run_request(callers: SocketAddr) -> Result<String, Report<StepError>> {
    let headers = [];
    let request = CallRequest {
        method: "POST",
        path: "/sizing/fit",
        headers: &headers,
        body: b"neck 41 cm",
    };
    let answer = poll_until("send request", callers, &request, |answer| {
        answer.status == STATUS_OK
    })?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Ok(format!(
        "request answered: status {}, body {body:?}",
        answer.status
    ))
}

fn run_job(operators: SocketAddr) -> Result<String, Report<StepError>> {
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
    poll_until("submit job", operators, &submit, |answer| {
        answer.status == STATUS_OK
    })?;
    let view = CallRequest::get("/v1/jobs/patterns");
    let answer = poll_until("watch job", operators, &view, |answer| {
        parse_view(answer).is_some_and(|view| view.state == JobState::Finished)
    })?;
    let tasks = parse_view(&answer).map_or(0, |view| view.tasks.len());
    Ok(format!("job patterns finished: {tasks} tasks"))
}

fn parse_view(answer: &HttpResponse) -> Option<JobView> {
    serde_json::from_slice(&answer.body).ok()
}

/// Repeats a call until its response is as expected.
///
/// # Errors
///
/// If no such response arrives after [`ATTEMPTS_MAX`] calls.
fn poll_until(
    step: &'static str,
    address: SocketAddr,
    request: &CallRequest<'_>,
    is_expected: impl Fn(&HttpResponse) -> bool,
) -> Result<HttpResponse, Report<StepError>> {
    let failed = || StepError::new(step, &address.to_string());
    let peer = PeerAddress::try_from(address).change_context_lazy(failed)?;
    let client = HttpClient::new(peer, CALL_LIMITS);
    for _ in 0..ATTEMPTS_MAX {
        match client.call(step, request) {
            Ok(answer) if is_expected(&answer) => return Ok(answer),
            Ok(_) | Err(_) => thread::sleep(ATTEMPT_PAUSE),
        }
    }
    Err(Report::new(failed()))
}
