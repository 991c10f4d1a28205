//! The sockets for other daemons.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

use error_stack::Report;
use error_stack::ResultExt;

use sapphirestile_core::StepError;

/// The attempts to find a number that is free for both TCP and UDP.
const BIND_ATTEMPTS_MAX: u32 = 20;

/// A TCP and a UDP socket on the same port number.
#[derive(Debug)]
pub struct PeerSockets {
    /// Accepts connections for calls.
    pub listener: TcpListener,
    /// Sends and receives datagrams: heartbeats, tokens and slowdowns.
    pub datagrams: UdpSocket,
    /// The address of both as bound.
    pub address: SocketAddr,
}

impl PeerSockets {
    /// Binds both sockets. For port 0 the operating system chooses the number.
    ///
    /// # Errors
    ///
    /// [`StepError`] when either cannot be bound; for port 0, after 20 attempts.
    pub fn bind(address: SocketAddr) -> Result<Self, Report<StepError>> {
        let failed = || StepError::new("bind peer ports", &address.to_string());
        let mut attempts = 0;
        loop {
            attempts += 1;
            let listener = TcpListener::bind(address).change_context_lazy(failed)?;
            let bound = listener.local_addr().change_context_lazy(failed)?;
            match UdpSocket::bind(bound) {
                Ok(datagrams) => {
                    return Ok(Self {
                        listener,
                        datagrams,
                        address: bound,
                    });
                }
                // The number is free for TCP but in use for UDP; the next may be free for both.
                Err(_) if address.port() == 0 && attempts < BIND_ATTEMPTS_MAX => {}
                Err(error) => return Err(Report::new(error).change_context(failed())),
            }
        }
    }

    /// Duplicates the handle of the UDP socket, for another thread.
    ///
    /// # Errors
    ///
    /// [`StepError`] when the operating system cannot duplicate the handle.
    pub fn clone_datagrams(&self) -> Result<UdpSocket, Report<StepError>> {
        let cloned = self.datagrams.try_clone();
        cloned.change_context_lazy(|| StepError::new("clone datagram socket", "own port"))
    }
}
