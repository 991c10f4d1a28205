//! Serves the calls of peers.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::thread;
use std::time::Duration;

use crossbeam::channel::bounded;
use tracing::debug;
use tracing::warn;

use crate::cells::CellRouter;
use crate::context::DaemonContext;
use crate::context::RepeatLimiter;
use crate::peers::ConnectionPermit;
use crate::peers::FrameStream;
use crate::tokens::TokenEvent;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerFault;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::PeerRequest;

/// The most connections of peers that are open at a time; further ones are closed at once.
pub const CONNECTIONS_MAX: usize = 512;

const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
const CLOSE_MEMBER_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the calls of peers, with one thread for each connection.
pub struct PeerServer {
    context: Arc<DaemonContext>,
    listener: TcpListener,
    open: Arc<AtomicUsize>,
    log_limiter: RepeatLimiter,
}

impl PeerServer {
    /// Creates a server that accepts connections from `listener`.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>, listener: TcpListener) -> Self {
        Self {
            context,
            listener,
            open: Arc::default(),
            log_limiter: RepeatLimiter::default(),
        }
    }

    /// Accepts and serves connections. Never returns.
    pub fn run(&self) {
        loop {
            match self.listener.accept() {
                Ok((stream, peer)) => self.accept(stream, peer),
                // For example too many open files, which takes a while to pass.
                Err(_) => thread::sleep(ACCEPT_PAUSE),
            }
        }
    }

    /// Serves a connection on a new thread, or closes it when there are already
    /// [`CONNECTIONS_MAX`].
    fn accept(&self, stream: TcpStream, peer: SocketAddr) {
        let Some(permit) = ConnectionPermit::try_acquire(&self.open, CONNECTIONS_MAX) else {
            debug!(step = "accept peer", %peer, "connection closed: too many are open");
            return;
        };
        let context = Arc::clone(&self.context);
        let spawned = thread::Builder::new().spawn(move || {
            let _permit = permit;
            if let Err(error) = serve(&context, stream) {
                debug!(step = "serve peer", %peer, %error, "connection ended");
            }
        });
        if let Err(error) = spawned
            && let Some(repeats) = self.log_limiter.try_acquire(self.context.clock.now())
        {
            warn!(step = "accept peer", %peer, repeats, %error, "connection closed: cannot start a thread for it");
        }
    }
}

/// Answers the calls of a connection one after the other, until it fails or ends.
fn serve(context: &DaemonContext, stream: TcpStream) -> std::io::Result<()> {
    let mut stream = FrameStream::new(stream, IDLE_TIMEOUT)?;
    loop {
        let sealed = stream.read()?;
        let frame = context
            .frame_key
            .open::<PeerRequest>(&sealed)
            .map_err(std::io::Error::other)?;
        let answer = PeerFrame {
            sender: context.identity.daemon.clone(),
            incarnation: context.identity.incarnation,
            call: frame.call,
            body: answer(context, frame),
        };
        let sealed = context
            .frame_key
            .seal(&answer)
            .map_err(std::io::Error::other)?;
        stream.write(&sealed)?;
    }
}

/// Answers a call. Calls for a cell that this daemon does not own get
/// [`PeerFault::NotOwner`].
fn answer(context: &DaemonContext, frame: PeerFrame<PeerRequest>) -> PeerAnswer {
    let sender = DaemonIdentity {
        daemon: frame.sender,
        incarnation: frame.incarnation,
    };
    let cell = match &frame.body {
        PeerRequest::Ping => return PeerAnswer::Pong,
        PeerRequest::CloseMember(gone) => return close_member(context, gone),
        PeerRequest::Document(known) => {
            let document = context.document.load();
            let later = document.stored().filter(|_| document.revision() > *known);
            let found = later.map(|stored| (document.revision(), stored.clone()));
            return PeerAnswer::Document(found);
        }
        PeerRequest::SubmitJob(cell, _)
        | PeerRequest::CancelJob(cell, _)
        | PeerRequest::ViewJob(cell, _)
        | PeerRequest::Explain(cell, _, _)
        | PeerRequest::ListJobs(cell)
        | PeerRequest::RecordRequest(cell, _, _)
        | PeerRequest::WithdrawRequest(cell, _, _)
        | PeerRequest::ReportShares(cell, _) => *cell,
    };
    CellRouter::new(context).call_local(cell, &sender, frame.body)
}

fn close_member(context: &DaemonContext, gone: &DaemonIdentity) -> PeerAnswer {
    let (reply, answers) = bounded(1);
    let event = TokenEvent::CloseMember(gone.clone(), reply);
    if context.token_events.send(event).is_err() {
        return PeerAnswer::Fault(PeerFault::Unknown);
    }
    match answers.recv_timeout(CLOSE_MEMBER_TIMEOUT) {
        Ok(report) => PeerAnswer::Closed(report),
        Err(_) => PeerAnswer::Fault(PeerFault::Unknown),
    }
}
