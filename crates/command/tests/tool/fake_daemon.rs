//! A fake daemon with scripted responses.

use std::io::Error;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;

use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::header::AUTHORIZATION;
use serde_json::Value;

const PORT_ATTEMPTS_MAX: u32 = 20;

/// The response to one request.
pub enum FakeResponse {
    /// A status and a JSON body.
    Json(u16, Value),
    /// A status and a body of any bytes.
    Raw(u16, Vec<u8>),
    /// Status 200 with a body that breaks off.
    Truncated,
}

/// Sends responses from a list, in order, and records the requests.
pub struct FakeDaemon {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<String>>>,
}

impl FakeDaemon {
    /// Starts a daemon on a free port of 127.0.0.1; it panics on a request after the last
    /// response.
    pub fn with_responses(responses: Vec<FakeResponse>) -> Self {
        Self::with_responses_at("127.0.0.1:0", responses)
    }

    /// Like [`Self::with_responses`], at `wanted`; port 0 lets the operating system choose.
    pub fn with_responses_at(wanted: &str, responses: Vec<FakeResponse>) -> Self {
        let responses = Arc::new(Mutex::new(responses.into_iter()));
        let calls = Arc::new(Mutex::new(Vec::new()));
        for _ in 0..PORT_ATTEMPTS_MAX {
            let responses = Arc::clone(&responses);
            let recorded = Arc::clone(&calls);
            let address = free_address(wanted);
            let server = Server::new(move |request| {
                recorded.lock().unwrap().push(format_call(request));
                let response = responses.lock().unwrap().next();
                build_response(
                    response.expect("the fake daemon got more requests than it has responses"),
                )
            });
            // Another process may have taken the port since it was found free.
            if server.bind(address).spawn().is_ok() {
                return Self { address, calls };
            }
        }
        panic!("could not listen on any of {PORT_ATTEMPTS_MAX} free ports at {wanted}");
    }

    /// The requests so far, each as method, path, body and, if any, authorization.
    pub fn calls(&self) -> Vec<String> {
        self.calls.lock().unwrap().clone()
    }
}

/// An address that nothing listens on: no fake daemon uses its network.
pub fn closed_address() -> SocketAddr {
    free_address("127.99.0.1:0")
}

fn free_address(text: &str) -> SocketAddr {
    let listener = TcpListener::bind(text).unwrap();
    listener.local_addr().unwrap()
}

fn format_call(request: &mut Request<Body>) -> String {
    let mut body = String::new();
    request.body_mut().read_to_string(&mut body).unwrap();
    let authorization = request.headers().get(AUTHORIZATION);
    let authorization = authorization.map_or("", |value| value.to_str().unwrap());
    let line = format!(
        "{} {} {body} {authorization}",
        request.method(),
        request.uri().path()
    );
    line.trim_end().to_owned()
}

fn build_response(response: FakeResponse) -> Response<Body> {
    let (status, body) = match response {
        FakeResponse::Json(status, value) => (status, Body::from(value.to_string())),
        FakeResponse::Raw(status, bytes) => (status, Body::from(bytes)),
        FakeResponse::Truncated => (200, Body::from_read(FailingReader)),
    };
    Response::builder().status(status).body(body).unwrap()
}

struct FailingReader;

impl Read for FailingReader {
    fn read(&mut self, _: &mut [u8]) -> Result<usize, Error> {
        Err(Error::other("the fake daemon cuts the body off"))
    }
}
