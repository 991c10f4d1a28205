//! A caller that submits jobs to the daemons under test.

use std::net::SocketAddr;
use std::time::Duration;

use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::HeaderView;
use sapphirestile_clients::http::HttpClient;
use sapphirestile_clients::http::PeerAddress;

const HOST: HeaderView<'_> = HeaderView {
    name: "host",
    value: b"desk.example",
};

/// A caller that keeps its connections to each daemon open until they break.
pub struct SoakCaller {
    clients: Vec<HttpClient>,
}

impl SoakCaller {
    pub fn new(daemons: &[SocketAddr]) -> Self {
        let limits = CallLimits {
            timeout: Duration::from_millis(800),
            response_max_bytes: 65_536,
        };
        let client = |address: &SocketAddr| {
            let peer =
                PeerAddress::try_from(*address).expect("the port of a running daemon is not 0");
            HttpClient::new(peer, limits)
        };
        Self {
            clients: daemons.iter().map(client).collect(),
        }
    }

    /// Submits a job at a daemon. Returns the HTTP status, or `None` without a complete
    /// response within the timeout.
    pub fn submit(&self, daemon: usize, job: &str, body: &str) -> Option<u16> {
        let (status, _) = self.call(daemon, "POST", &format!("/charts/{job}"), body)?;
        Some(status)
    }

    /// Cancels a job at a daemon. Returns the HTTP status, or `None` without a complete
    /// response within the timeout.
    pub fn cancel(&self, daemon: usize, job: &str) -> Option<u16> {
        let (status, _) = self.call(daemon, "DELETE", &format!("/charts/{job}"), "")?;
        Some(status)
    }

    /// Asks a daemon for the waiting jobs of the queue that only `version` of the
    /// configuration has. Returns the HTTP status, or `None` without a complete response
    /// within the timeout.
    pub fn probe_version(&self, daemon: usize, version: u64) -> Option<u16> {
        let (status, _) = self.call(daemon, "GET", &format!("/version-{version}/"), "")?;
        Some(status)
    }

    /// Asks a daemon for the state of a job. Returns the HTTP status and the body, or `None`
    /// without a complete response within the timeout.
    pub fn job_state(&self, daemon: usize, job: &str) -> Option<(u16, String)> {
        self.call(daemon, "GET", &format!("/charts/{job}"), "")
    }

    fn call(&self, daemon: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let request = CallRequest {
            method,
            path,
            headers: &[HOST],
            body: body.as_bytes(),
        };
        let response = self.clients[daemon].call("call daemon", &request).ok()?;
        let text = String::from_utf8(response.body).expect("a response body is UTF-8");
        Some((response.status, text))
    }
}
