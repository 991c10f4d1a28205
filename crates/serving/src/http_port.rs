//! HTTP server on one port.

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

use crate::CodeScope;
use crate::HttpService;
use crate::LibraryBody;
use crate::MinTransferRate;
use crate::MonoClock;
use crate::PortLimits;
use crate::RateCheckedReader;
use crate::RequestGate;
use sapphirestile_core::StepError;

const STEP: &str = "bind port";
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const BIND_ATTEMPTS_MAX: u32 = 20;
const DRAIN_MAX_BYTES: u64 = 8 * 1_024 * 1_024;

/// An HTTP server on one port, with one thread per connection. It stops when dropped.
pub struct HttpPort {
    address: SocketAddr,
    _server: ListeningServer,
}

impl HttpPort {
    /// Binds `address` and starts to serve. With port 0 a free port is chosen.
    ///
    /// # Errors
    ///
    /// [`StepError`] when the port cannot be bound.
    pub fn open(
        address: SocketAddr,
        limits: PortLimits,
        service: &Arc<dyn HttpService>,
        gate: &Arc<RequestGate>,
    ) -> Result<Self, Report<StepError>> {
        let failed = || StepError::new(STEP, &address.to_string());
        let mut attempts = 0;
        loop {
            attempts += 1;
            let chosen = choose_port(address).change_context_lazy(failed)?;
            match spawn(chosen, limits, Arc::clone(service), gate) {
                Ok(server) => {
                    return Ok(Self {
                        address: chosen,
                        _server: server,
                    });
                }
                // Another process may bind the chosen port before this one does.
                Err(_) if address.port() == 0 && attempts < BIND_ATTEMPTS_MAX => {}
                Err(error) => return Err(Report::new(error).change_context(failed())),
            }
        }
    }

    /// The address that the server is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Chooses a free port in advance, since `OxHTTP` does not tell which port it was given.
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
        limit_body_time(request, clock, limits.body_max_ms);
        CodeScope::Handler.run(|| answer(request, &*service, &gate))
    })
    .bind(address)
    .with_global_timeout(IDLE_TIMEOUT)
    .with_max_concurrent_connections(limits.connections)
    .spawn()
}

/// Answers a request if the gate admits it, and refuses it otherwise. During a planned stop
/// the answer ends its connection.
fn answer(
    request: &mut Request<Body>,
    service: &dyn HttpService,
    gate: &Arc<RequestGate>,
) -> Response<Body> {
    let guard = gate.enter();
    let reply = if guard.is_admitted() {
        service.answer(request)
    } else {
        service.refuse()
    };
    let mut response = reply.into_response();
    if !drain_body(request) || gate.sends_away() {
        close_after(request);
    }
    // `OxHTTP` drops the response, and with it the guard, after writing it.
    response.extensions_mut().insert(Arc::new(guard));
    response
}

/// Applies the timeout and the minimum transfer rate to the body.
fn limit_body_time(request: &mut Request<Body>, clock: MonoClock, body_max_ms: u64) {
    if request.body().len() == Some(0) {
        return;
    }
    let body = LibraryBody::new(take(request.body_mut()));
    let rate = MinTransferRate::start(clock.now(), body_max_ms);
    let reader = RateCheckedReader::new(body, rate, move || clock.now());
    *request.body_mut() = Body::from_read(reader);
}

/// Reads and discards the remaining body, so that the connection can carry another
/// request. Returns whether the body ended; false when it is truncated, too slow or
/// exceeds [`DRAIN_MAX_BYTES`].
fn drain_body(request: &mut Request<Body>) -> bool {
    let mut remaining = request.body_mut().take(DRAIN_MAX_BYTES);
    let read = copy(&mut remaining, &mut sink());
    read.is_ok_and(|length| length < DRAIN_MAX_BYTES)
}

/// Ends the connection after the answer. `OxHTTP` looks for this header of the request, and
/// writes none of that name itself. The body is replaced by an empty one, since `OxHTTP` would
/// otherwise send an error of its own instead of the answer to a body that was not read whole.
fn close_after(request: &mut Request<Body>) {
    *request.body_mut() = Body::empty();
    let close = HeaderValue::from_static("close");
    request.headers_mut().insert(CONNECTION, close);
}
