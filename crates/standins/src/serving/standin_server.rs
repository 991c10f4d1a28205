//! Serves a stand-in on an address.

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

use crate::serving::ReplyEnding;
use crate::serving::StandinCall;
use crate::serving::StandinReply;
use crate::serving::StandinService;
use crate::serving::broken_source::BrokenSource;
use sapphirestile_core::StepError;

/// The largest body of a call, in bytes.
const CALL_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// How often a port given by the operating system is tried anew when another
/// process takes it first.
const BIND_TRIES: usize = 16;

thread_local! {
    /// Whether the connection of this thread had a call: the server has a thread for each.
    static CONNECTION_USED: Cell<bool> = const { Cell::new(false) };
}

/// A running server. When dropped it closes every connection without an answer
/// at its next call; the port itself stays bound until the process ends.
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

    /// Where the server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// What answers the calls.
    #[must_use]
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// Serves until the process ends.
    ///
    /// # Errors
    ///
    /// [`StepError`] when the listening thread ended.
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
    let mut tries = 0;
    loop {
        let free = find_address(address)?;
        match spawn(free, Arc::clone(service), Arc::clone(stopped)) {
            Ok(listening) => return Ok((free, listening)),
            Err(error) if error.kind() != ErrorKind::AddrInUse => return Err(error),
            Err(error) if address.port() != 0 || tries >= BIND_TRIES => return Err(error),
            Err(_) => tries += 1,
        }
    }
}

/// The server library does not tell the port that it was given, so a free one
/// is found first; another process may take it in between.
fn find_address(address: SocketAddr) -> std::io::Result<SocketAddr> {
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
            return encode_reply(StandinReply::dropped());
        }
        encode_reply(answer(&*service, request))
    })
    .bind(address)
    .spawn()
}

fn answer(service: &impl StandinService, request: &mut Request<Body>) -> StandinReply {
    let mut body = Vec::new();
    let mut source = request.body_mut().take(CALL_MAX_BYTES + 1);
    if source.read_to_end(&mut body).is_err() {
        return StandinReply::dropped();
    }
    if body.len() as u64 > CALL_MAX_BYTES {
        return StandinReply::plain(StatusCode::PAYLOAD_TOO_LARGE.as_u16(), b"");
    }
    service.answer(&StandinCall {
        method: request.method().as_str(),
        path: request.uri().path(),
        headers: request.headers(),
        body: &body,
        opens_connection: !CONNECTION_USED.replace(true),
    })
}

fn encode_reply(reply: StandinReply) -> Response<Body> {
    let ending = reply.ending;
    let body = match ending {
        ReplyEnding::Whole => Body::from(reply.body),
        ReplyEnding::Truncated => truncated_body(reply.body),
        ReplyEnding::Dropped => Body::empty(),
    };
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = reply.headers;
    if ending == ReplyEnding::Dropped {
        // The server library cannot encode this version: it closes the
        // connection before it has written a byte.
        *response.version_mut() = Version::HTTP_2;
    }
    response
}

/// A body that breaks off half-way, so that its last chunk is never sent.
fn truncated_body(bytes: Vec<u8>) -> Body {
    let half = (bytes.len() / 2) as u64;
    let source = std::io::Cursor::new(bytes).take(half);
    Body::from_read(source.chain(BrokenSource))
}
