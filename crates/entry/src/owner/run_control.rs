//! Requests that change a run at a worker.

use std::net::SocketAddr;

use sapphirestile_jobs::PaceRequest;
use sapphirestile_jobs::StopRequest;

/// A request that changes a run which was started earlier.
#[derive(Clone, Debug)]
pub enum RunControl {
    /// Stop the run.
    Stop(StopRequest),
    /// Change the pace of the run.
    Pace(PaceRequest),
}

impl RunControl {
    /// The address of the worker.
    pub const fn address(&self) -> SocketAddr {
        match self {
            Self::Stop(request) => request.address,
            Self::Pace(request) => request.address,
        }
    }
}
