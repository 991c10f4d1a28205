//! Calls to peers.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use tracing::debug;

use crate::context::DaemonContext;
use crate::peers::FrameStream;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerFault;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::PeerRequest;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Makes calls to peers, each over a new connection.
pub struct PeerClient<'c> {
    context: &'c DaemonContext,
}

impl<'c> PeerClient<'c> {
    /// Creates a client that calls as the daemon of `context`.
    #[must_use]
    pub const fn new(context: &'c DaemonContext) -> Self {
        Self { context }
    }

    /// Calls the peer at `address` and returns its answer.
    ///
    /// Returns [`PeerFault::NotRun`] when the peer could not be connected to, and
    /// [`PeerFault::Unknown`] when the call may have been sent and no valid answer arrived.
    #[must_use]
    pub fn call(&self, address: SocketAddr, request: &PeerRequest) -> PeerAnswer {
        let connected = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
            .and_then(|stream| FrameStream::new(stream, CALL_TIMEOUT));
        match connected {
            Ok(stream) => self.call_over(stream, request).unwrap_or_else(|error| {
                debug!(step = "call peer", peer = %address, %error, "no valid answer; the outcome of the call is unknown");
                PeerAnswer::Fault(PeerFault::Unknown)
            }),
            Err(error) => {
                let reason = format!("the peer at {address} was not reached: {error}");
                PeerAnswer::Fault(PeerFault::NotRun(reason))
            }
        }
    }

    fn call_over(
        &self,
        mut stream: FrameStream,
        request: &PeerRequest,
    ) -> std::io::Result<PeerAnswer> {
        let call = rand::random();
        let frame = PeerFrame {
            sender: self.context.identity.daemon.clone(),
            incarnation: self.context.identity.incarnation,
            call,
            body: request,
        };
        let sealed = self
            .context
            .frame_key
            .seal(&frame)
            .map_err(std::io::Error::other)?;
        stream.write(&sealed)?;
        let sealed = stream.read()?;
        let answer = self
            .context
            .frame_key
            .open::<PeerAnswer>(&sealed)
            .map_err(std::io::Error::other)?;
        if answer.call != call {
            return Err(std::io::Error::other(format!(
                "expected the answer of call {call}, got that of call {}",
                answer.call
            )));
        }
        Ok(answer.body)
    }
}
