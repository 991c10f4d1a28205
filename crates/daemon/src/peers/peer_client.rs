//! Calls peers.

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

/// Calls one peer at a time, each call over a connection of its own.
pub struct PeerClient<'c> {
    context: &'c DaemonContext,
}

impl<'c> PeerClient<'c> {
    /// A client for one daemon.
    #[must_use]
    pub const fn new(context: &'c DaemonContext) -> Self {
        Self { context }
    }

    /// Calls the peer at `address`. A fault says whether the call was not run or
    /// its outcome is unknown.
    #[must_use]
    pub fn call(&self, address: SocketAddr, request: &PeerRequest) -> PeerAnswer {
        let connected = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
            .and_then(|stream| FrameStream::new(stream, CALL_TIMEOUT));
        match connected {
            Ok(stream) => self.call_over(stream, request).unwrap_or_else(|error| {
                debug!(step = "call peer", peer = %address, %error, "answer lost");
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
            return Err(std::io::Error::other("the answer belongs to another call"));
        }
        Ok(answer.body)
    }
}
