//! Calls a runner with one of the clients.

use oxhttp::model::Request;

use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::ConnectionTable;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::runner::RunnerClient;
use sapphirestile_clients::runner::RunnerOutcome;
use sapphirestile_clients::runner::RunnerRequest;

/// A caller of one runner.
pub enum RunnerCaller {
    /// With oxhttp, towards this URI.
    Oxhttp(oxhttp::Client, String),
    /// With the client of the daemons, made anew for each request.
    RunnerClient(ConnectionTable, PeerAddress, CallLimits),
}

impl RunnerCaller {
    /// Sends one request and checks the echoed body.
    pub fn call(&self, id: &str, body: &[u8]) {
        let answer = match self {
            Self::Oxhttp(client, uri) => {
                let request = Request::post(uri)
                    .header("x-request-id", id)
                    .body(body.to_vec())
                    .expect("the request is well formed");
                let response = client.request(request).expect("the runner answers");
                response.into_body().to_vec().expect("the answer is whole")
            }
            Self::RunnerClient(table, peer, limits) => {
                let client = RunnerClient::over(table.connections(*peer), *limits);
                forward(&client, id, body)
            }
        };
        assert_eq!(answer, body);
    }
}

fn forward(client: &RunnerClient, id: &str, body: &[u8]) -> Vec<u8> {
    let request = RunnerRequest {
        id,
        method: "POST",
        path: "/fit-check",
        headers: &[],
        body,
    };
    match client.forward(&request) {
        RunnerOutcome::Answered(answer) => answer.body,
        RunnerOutcome::NotRun(report) | RunnerOutcome::Unknown(report) => {
            panic!("the runner answers: {report:?}")
        }
    }
}
