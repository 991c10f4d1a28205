//! A port that serves HTTP.

use std::io::Read;
use std::io::copy;
use std::io::sink;
use std::mem::take;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use oxhttp::ListeningServer;
use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::HeaderValue;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::header::CONNECTION;

use crate::HttpService;
use crate::MonoClock;
use crate::PacedReader;
use crate::PortLimits;
use crate::RequestGate;
use crate::TransferPace;
use sapphirestile_core::StepError;

const STEP: &str = "bind port";
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const BIND_TRIES: u32 = 20;
const BODY_REST_MAX_BYTES: u64 = 8 * 1_024 * 1_024;

/// A port that serves HTTP, a thread a connection.
pub struct HttpPort {
    address: SocketAddr,
    _server: ListeningServer,
}

impl HttpPort {
    /// Binds `address` and serves from then on. Port 0 lets the operating system
    /// choose.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub fn open(
        address: SocketAddr,
        limits: PortLimits,
        service: &Arc<dyn HttpService>,
        gate: &Arc<RequestGate>,
    ) -> Result<Self, Report<StepError>> {
        let failed = || StepError::new(STEP, &address.to_string());
        let mut tried = 0;
        loop {
            tried += 1;
            let wanted = choose_port(address).change_context_lazy(failed)?;
            match spawn(wanted, limits, Arc::clone(service), gate) {
                Ok(server) => {
                    return Ok(Self {
                        address: wanted,
                        _server: server,
                    });
                }
                // Another process may take a port between its choice and its use.
                Err(_) if address.port() == 0 && tried < BIND_TRIES => {}
                Err(error) => return Err(Report::new(error).change_context(failed())),
            }
        }
    }

    /// Where the port is.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// The library does not tell which port it was given, so one is chosen first.
fn choose_port(address: SocketAddr) -> std::io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    TcpListener::bind(address)?.local_addr()
}

fn spawn(
    address: SocketAddr,
    limits: PortLimits,
    service: Arc<dyn HttpService>,
    gate: &Arc<RequestGate>,
) -> std::io::Result<ListeningServer> {
    let gate = Arc::clone(gate);
    let clock = MonoClock::start();
    Server::new(move |request| {
        pace_body(request, clock, limits.body_max_ms);
        let pass = gate.enter();
        let reply = if pass.is_some() {
            service.answer(request)
        } else {
            service.refuse()
        };
        let mut response = reply.into_response();
        if !finish_body(request) {
            close_after(request, &mut response);
        }
        // The library drops the response once it is written, and the pass with it.
        response.extensions_mut().insert(Arc::new(pass));
        response
    })
    .bind(address)
    .with_global_timeout(IDLE_TIMEOUT)
    .with_max_concurrent_connections(limits.connections)
    .spawn()
}

/// Bounds the time that the body may take to arrive.
fn pace_body(request: &mut Request<Body>, clock: MonoClock, body_max_ms: u64) {
    if request.body().len() == Some(0) {
        return;
    }
    let body = take(request.body_mut());
    let pace = TransferPace::begin(clock.now(), body_max_ms);
    let reader = PacedReader::new(body, pace, move || clock.now());
    *request.body_mut() = Body::from_read(reader);
}

/// Reads what is left of a body, so that the connection can carry another
/// request. Returns whether the body has come to its end; one that breaks off,
/// falls behind or goes on for long does not.
fn finish_body(request: &mut Request<Body>) -> bool {
    let mut rest = request.body_mut().take(BODY_REST_MAX_BYTES);
    let read = copy(&mut rest, &mut sink());
    read.is_ok_and(|length| length < BODY_REST_MAX_BYTES)
}

/// Has the connection end after the answer. Without the body the library would
/// answer a failure of its own instead.
fn close_after(request: &mut Request<Body>, response: &mut Response<Body>) {
    *request.body_mut() = Body::empty();
    let close = HeaderValue::from_static("close");
    request.headers_mut().insert(CONNECTION, close.clone());
    response.headers_mut().insert(CONNECTION, close);
}
