//! An HTTP server that serves one stand-in on an address.

use crate::serving::listening_threads::ListeningThreads;
use std::cell::Cell;
use std::io::ErrorKind;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use error_stack::Report;
use oxhttp::ListeningServer;
use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use oxhttp::model::Version;

use crate::serving::ResponseEnding;
use crate::serving::StandinRequest;
use crate::serving::StandinResponse;
use crate::serving::StandinService;
use crate::serving::failing_reader::FailingReader;
use sapphirestile_core::StepError;

/// The maximum size of a request body; larger ones are refused with status 413.
const REQUEST_BODY_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// How often another free port is tried when another process has bound the chosen one
/// first.
const BIND_RETRIES_MAX: usize = 16;

thread_local! {
    /// Whether a request has come on the connection of this thread. The server runs each
    /// connection on a thread of its own.
    static HAD_REQUEST: Cell<bool> = const { Cell::new(false) };
}

/// A running server. Once it is dropped, each connection is closed without a response at
/// its next request, but the port stays bound until the process ends.
#[derive(Debug)]
pub struct StandinServer<Service: StandinService> {
    address: SocketAddr,
    service: Arc<Service>,
    stopped: Arc<AtomicBool>,
    listening: Option<ListeningThreads>,
}

impl<Service: StandinService> StandinServer<Service> {
    /// Serves `service` on `address`; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// [`StepError`] when the address cannot be bound.
    pub fn serve(address: SocketAddr, service: Service) -> Result<Self, Report<StepError>> {
        let service = Arc::new(service);
        let stopped = Arc::new(AtomicBool::new(false));
        let (address, listening) = bind(address, &service, &stopped).map_err(|error| {
            let step = StepError::new("listen", &address.to_string());
            Report::new(error).change_context(step)
        })?;
        Ok(Self {
            address,
            service,
            stopped,
            listening: Some(ListeningThreads(listening)),
        })
    }

    /// The address that the server listens on, with the port that was chosen for port 0.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The request handler, to inject faults and to read counts.
    #[must_use]
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// Blocks while the server runs, normally until the process ends.
    ///
    /// # Errors
    ///
    /// [`StepError`] when the listening thread has failed.
    pub fn join(mut self) -> Result<(), Report<StepError>> {
        let Some(ListeningThreads(listening)) = self.listening.take() else {
            return Ok(());
        };
        listening.join().map_err(|error| {
            let step = StepError::new("serve", &self.address.to_string());
            Report::new(error).change_context(step)
        })
    }
}

impl<Service: StandinService> Drop for StandinServer<Service> {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        self.service.stop();
    }
}

fn bind<Service: StandinService>(
    address: SocketAddr,
    service: &Arc<Service>,
    stopped: &Arc<AtomicBool>,
) -> std::io::Result<(SocketAddr, ListeningServer)> {
    let mut retries = 0;
    loop {
        let candidate = find_free_address(address)?;
        match spawn(candidate, Arc::clone(service), Arc::clone(stopped)) {
            Ok(listening) => return Ok((candidate, listening)),
            Err(error) if error.kind() != ErrorKind::AddrInUse => return Err(error),
            Err(error) if address.port() != 0 || retries >= BIND_RETRIES_MAX => return Err(error),
            Err(_) => retries += 1,
        }
    }
}

/// Replaces port 0 by a free port. The server library does not report which port it was
/// given, so a free one is looked up first; another process may bind it in between.
fn find_free_address(address: SocketAddr) -> std::io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    TcpListener::bind(address)?.local_addr()
}

fn spawn<Service: StandinService>(
    address: SocketAddr,
    service: Arc<Service>,
    stopped: Arc<AtomicBool>,
) -> std::io::Result<ListeningServer> {
    Server::new(move |request| {
        if stopped.load(Ordering::Acquire) {
            return encode_response(StandinResponse::dropped());
        }
        encode_response(respond(&*service, request))
    })
    .bind(address)
    .spawn()
}

fn respond(service: &impl StandinService, request: &mut Request<Body>) -> StandinResponse {
    let mut body = Vec::new();
    let mut source = request.body_mut().take(REQUEST_BODY_MAX_BYTES + 1);
    if source.read_to_end(&mut body).is_err() {
        return StandinResponse::dropped();
    }
    if body.len() as u64 > REQUEST_BODY_MAX_BYTES {
        return StandinResponse::plain(StatusCode::PAYLOAD_TOO_LARGE.as_u16(), b"");
    }
    service.respond(&StandinRequest {
        method: request.method().as_str(),
        path: request.uri().path(),
        headers: request.headers(),
        body: &body,
        is_first_on_connection: !HAD_REQUEST.replace(true),
    })
}

fn encode_response(response: StandinResponse) -> Response<Body> {
    let ending = response.ending;
    let body = match ending {
        ResponseEnding::Complete => Body::from(response.body),
        ResponseEnding::Truncated => truncated_body(response.body),
        ResponseEnding::Dropped => Body::empty(),
    };
    let mut encoded = Response::new(body);
    *encoded.status_mut() =
        StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *encoded.headers_mut() = response.headers;
    if ending == ResponseEnding::Dropped {
        // The server library cannot encode this HTTP version: it closes the connection
        // without having sent a byte.
        *encoded.version_mut() = Version::HTTP_2;
    }
    encoded
}

/// A body that fails after its first half, so that its last chunk is never sent.
fn truncated_body(bytes: Vec<u8>) -> Body {
    let half = (bytes.len() / 2) as u64;
    let source = std::io::Cursor::new(bytes).take(half);
    Body::from_read(source.chain(FailingReader))
}
