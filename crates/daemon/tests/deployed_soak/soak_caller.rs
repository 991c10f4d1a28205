//! A caller of the soak.

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

/// A caller that keeps its connections to each daemon until they break.
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
            let peer = PeerAddress::try_from(*address).expect("a daemon has an address");
            HttpClient::new(peer, limits)
        };
        Self {
            clients: daemons.iter().map(client).collect(),
        }
    }

    /// Hands a job in at a daemon; the status, if there was an answer.
    pub fn hand_in(&self, daemon: usize, job: &str, body: &str) -> Option<u16> {
        let (status, _) = self.call(daemon, "POST", job, body)?;
        Some(status)
    }

    /// How a daemon says that a job stands.
    pub fn state(&self, daemon: usize, job: &str) -> Option<(u16, String)> {
        self.call(daemon, "GET", job, "")
    }

    fn call(&self, daemon: usize, method: &str, job: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("/charts/{job}");
        let request = CallRequest {
            method,
            path: &path,
            headers: &[HOST],
            body: body.as_bytes(),
        };
        let answer = self.clients[daemon].call("call daemon", &request).ok()?;
        let text = String::from_utf8(answer.body).expect("answers are text");
        Some((answer.status, text))
    }
}
