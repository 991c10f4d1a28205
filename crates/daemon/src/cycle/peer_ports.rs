//! The ports for peers.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

use error_stack::Report;
use error_stack::ResultExt;

use sapphirestile_core::StepError;

const BIND_TRIES: u32 = 20;

/// A TCP and a UDP port of the same number.
#[derive(Debug)]
pub struct PeerPorts {
    /// Takes calls.
    pub calls: TcpListener,
    /// Takes heartbeats.
    pub heartbeats: UdpSocket,
    /// Where both are.
    pub address: SocketAddr,
}

impl PeerPorts {
    /// Binds both ports. Port 0 lets the operating system choose.
    ///
    /// # Errors
    ///
    /// When either cannot be bound.
    pub fn bind(address: SocketAddr) -> Result<Self, Report<StepError>> {
        let failed = || StepError::new("bind peer ports", &address.to_string());
        let mut tried = 0;
        loop {
            tried += 1;
            let calls = TcpListener::bind(address).change_context_lazy(failed)?;
            let bound = calls.local_addr().change_context_lazy(failed)?;
            match UdpSocket::bind(bound) {
                Ok(heartbeats) => {
                    return Ok(Self {
                        calls,
                        heartbeats,
                        address: bound,
                    });
                }
                // The UDP port of this number is taken; another number may be free.
                Err(_) if address.port() == 0 && tried < BIND_TRIES => {}
                Err(error) => return Err(Report::new(error).change_context(failed())),
            }
        }
    }

    /// A further handle of the socket that takes heartbeats.
    ///
    /// # Errors
    ///
    /// When the operating system gives none.
    pub fn share_heartbeats(&self) -> Result<UdpSocket, Report<StepError>> {
        let shared = self.heartbeats.try_clone();
        shared.change_context_lazy(|| StepError::new("share heartbeat socket", "own port"))
    }
}
