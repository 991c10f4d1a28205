//! Effects of an owner.

use std::net::SocketAddr;

use crate::advice::AdviceRequest;
use crate::owner::PaceRequest;
use crate::owner::PollRequest;
use crate::owner::StartRequest;
use crate::owner::StopRequest;
use sapphirestile_core::WorkerName;

/// An action that the owner wants carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerEffect {
    /// Send a start request to a worker.
    Start(StartRequest),
    /// Send a stop request to a worker.
    Stop(StopRequest),
    /// Poll a worker.
    Poll(PollRequest),
    /// Send a change of pace to a worker.
    Pace(PaceRequest),
    /// Send a request to the advisor.
    Advise(AdviceRequest),
    /// Close the connections to a worker that is no longer listed.
    Forget {
        /// Worker that is no longer listed.
        worker: WorkerName,
        /// Network address of the worker; `None` if it was never listed.
        address: Option<SocketAddr>,
    },
}
