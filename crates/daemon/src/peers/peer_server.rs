//! Takes calls of peers.

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

use crate::cells::CellDesk;
use crate::context::DaemonContext;
use crate::context::LogLimiter;
use crate::peers::ConnectionPass;
use crate::peers::FrameStream;
use crate::tokens::TokenEvent;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerFault;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::PeerRequest;

/// The most connections of peers at a time.
pub const CONNECTIONS_MAX: usize = 512;

const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
const CLOSE_WAIT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Takes calls of peers, a thread a connection.
pub struct PeerServer {
    context: Arc<DaemonContext>,
    listener: TcpListener,
    open: Arc<AtomicUsize>,
    log_limiter: LogLimiter,
}

impl PeerServer {
    /// A server on `listener`.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>, listener: TcpListener) -> Self {
        Self {
            context,
            listener,
            open: Arc::default(),
            log_limiter: LogLimiter::default(),
        }
    }

    /// Takes connections until the process ends.
    pub fn run(&self) {
        loop {
            match self.listener.accept() {
                Ok((stream, peer)) => self.accept(stream, peer),
                // Such as for want of a descriptor, which does not pass at once.
                Err(_) => thread::sleep(ACCEPT_PAUSE),
            }
        }
    }

    /// Serves a connection, or closes it when there are too many.
    fn accept(&self, stream: TcpStream, peer: SocketAddr) {
        let Some(pass) = ConnectionPass::take(&self.open, CONNECTIONS_MAX) else {
            debug!(step = "accept peer", %peer, "too many connections");
            return;
        };
        let context = Arc::clone(&self.context);
        let spawned = thread::Builder::new().spawn(move || {
            let _pass = pass;
            if let Err(error) = serve(&context, stream) {
                debug!(step = "serve peer", %peer, %error, "connection ended");
            }
        });
        if let Err(error) = spawned
            && let Some(repeats) = self.log_limiter.try_acquire(self.context.clock.now())
        {
            warn!(step = "accept peer", %peer, repeats, %error, "no thread for a connection");
        }
    }
}

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

fn answer(context: &DaemonContext, frame: PeerFrame<PeerRequest>) -> PeerAnswer {
    let sender = DaemonIdentity {
        daemon: frame.sender,
        incarnation: frame.incarnation,
    };
    let cell = match &frame.body {
        PeerRequest::Ping => return PeerAnswer::Pong,
        PeerRequest::CloseMember(gone) => return close(context, gone),
        PeerRequest::Document(known) => {
            let document = context.document.load();
            let newer = document.stored().filter(|_| document.revision() > *known);
            let found = newer.map(|stored| (document.revision(), stored.clone()));
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
    CellDesk::new(context).call_here(cell, &sender, frame.body)
}

fn close(context: &DaemonContext, gone: &DaemonIdentity) -> PeerAnswer {
    let (reply, answers) = bounded(1);
    let event = TokenEvent::Close(gone.clone(), reply);
    if context.token_events.send(event).is_err() {
        return PeerAnswer::Fault(PeerFault::Unknown);
    }
    match answers.recv_timeout(CLOSE_WAIT) {
        Ok(report) => PeerAnswer::Closed(report),
        Err(_) => PeerAnswer::Fault(PeerFault::Unknown),
    }
}
