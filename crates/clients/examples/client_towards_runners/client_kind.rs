//! The clients to compare.

use std::net::SocketAddr;

use crate::runner_caller::RunnerCaller;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::ConnectionTable;
use sapphirestile_clients::http::PeerAddress;

/// A way to call a runner.
#[derive(Clone, Copy, Debug)]
pub enum ClientKind {
    /// The oxhttp client, which opens a connection for each request.
    Oxhttp,
    /// A new `RunnerClient` for each request, with pooled connections.
    RunnerClient,
}

impl ClientKind {
    /// Creates a caller of the runner at `address`.
    pub fn connect(self, address: SocketAddr, limits: CallLimits) -> RunnerCaller {
        match self {
            Self::Oxhttp => {
                let client = oxhttp::Client::new().with_global_timeout(limits.timeout);
                RunnerCaller::Oxhttp(client, format!("http://{address}/fit-check"))
            }
            Self::RunnerClient => {
                let peer = PeerAddress::try_from(address).expect("a port other than 0");
                RunnerCaller::RunnerClient(ConnectionTable::new(), peer, limits)
            }
        }
    }
}
