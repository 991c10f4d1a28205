//! Calls of a runner by either client.

use oxhttp::model::Request;

use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::ConnectionTable;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::runner::RunnerClient;
use sapphirestile_clients::runner::RunnerOutcome;
use sapphirestile_clients::runner::RunnerRequest;

/// A caller of one runner that uses one of the clients to compare.
pub enum RunnerCaller {
    /// Calls the URI with oxhttp.
    Oxhttp(oxhttp::Client, String),
    /// Calls the address with a new `RunnerClient` for each request, as daemons do.
    RunnerClient(ConnectionTable, PeerAddress, CallLimits),
}

impl RunnerCaller {
    /// Sends one request and checks that the response echoes its body.
    pub fn call(&self, id: &str, body: &[u8]) {
        let answer = match self {
            Self::Oxhttp(client, uri) => {
                let request = Request::post(uri)
                    .header("x-request-id", id)
                    .body(body.to_vec())
                    .expect("the request is well formed");
                let response = client.request(request).expect("the runner answers");
                response
                    .into_body()
                    .to_vec()
                    .expect("the response is complete")
            }
            Self::RunnerClient(table, peer, limits) => {
                let client = RunnerClient::with_connections(table.connections(*peer), *limits);
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
            panic!("the runner did not answer the request: {report:?}")
        }
    }
}
