//! Serves a worker on an address.

use std::net::SocketAddr;

use error_stack::Report;

use crate::serving::StandinServer;
use crate::worker::WorkerService;
use crate::worker::WorkerSettings;
use sapphirestile_core::StepError;

/// A running test double of a worker; stops when dropped.
pub type WorkerStandin = StandinServer<WorkerService>;

impl WorkerStandin {
    /// Serves an idle worker on `address`, without injected faults. Port 0 stands for any free
    /// port.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_standins::worker::WorkerSettings;
    /// use sapphirestile_standins::worker::WorkerStandin;
    ///
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let standin = WorkerStandin::start(address, WorkerSettings::default()).unwrap();
    /// assert!(standin.service().history().is_empty());
    /// ```
    ///
    /// # Errors
    ///
    /// [`StepError`] when the address cannot be bound.
    pub fn start(address: SocketAddr, settings: WorkerSettings) -> Result<Self, Report<StepError>> {
        Self::serve(address, WorkerService::new(settings))
    }
}
