//! A daemon that answers what it was told to.

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

const PORT_TRIES: u32 = 20;

/// What the fake answers to one call.
pub enum FakeAnswer {
    /// A status and a body.
    Whole(u16, Value),
    /// A status and a body that need not be JSON.
    Raw(u16, Vec<u8>),
    /// A body that breaks off.
    Broken,
}

/// Answers calls from a list, in order, and remembers them.
pub struct FakeDaemon {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
}

impl FakeDaemon {
    /// A daemon that gives these answers.
    pub fn answering(answers: Vec<FakeAnswer>) -> Self {
        Self::answering_at("127.0.0.1:0", answers)
    }

    /// The same at an address; port 0 lets the operating system choose.
    pub fn answering_at(wanted: &str, answers: Vec<FakeAnswer>) -> Self {
        let answers = Arc::new(Mutex::new(answers.into_iter()));
        let seen = Arc::new(Mutex::new(Vec::new()));
        for _ in 0..PORT_TRIES {
            let answers = Arc::clone(&answers);
            let calls = Arc::clone(&seen);
            let address = address_of(wanted);
            let server = Server::new(move |request| {
                calls.lock().unwrap().push(describe(request));
                let answer = answers.lock().unwrap().next();
                respond(answer.expect("no call more than there are answers"))
            });
            // The port may have been taken since it was found free.
            if server.bind(address).spawn().is_ok() {
                return Self { address, seen };
            }
        }
        panic!("no port of {PORT_TRIES} was free");
    }

    /// The calls so far: method, path, body and, if any, authorization.
    pub fn calls(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }
}

/// An address that nothing listens on; no fake is ever given one of its network.
pub fn closed_address() -> SocketAddr {
    address_of("127.99.0.1:0")
}

fn address_of(text: &str) -> SocketAddr {
    let listener = TcpListener::bind(text).unwrap();
    listener.local_addr().unwrap()
}

fn describe(request: &mut Request<Body>) -> String {
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

fn respond(answer: FakeAnswer) -> Response<Body> {
    let (status, body) = match answer {
        FakeAnswer::Whole(status, value) => (status, Body::from(value.to_string())),
        FakeAnswer::Raw(status, bytes) => (status, Body::from(bytes)),
        FakeAnswer::Broken => (200, Body::from_read(BrokenReader)),
    };
    Response::builder().status(status).body(body).unwrap()
}

struct BrokenReader;

impl Read for BrokenReader {
    fn read(&mut self, _: &mut [u8]) -> Result<usize, Error> {
        Err(Error::other("the fake breaks off"))
    }
}
