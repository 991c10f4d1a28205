//! Serves a runner on an address.

use std::net::SocketAddr;

use error_stack::Report;

use crate::runner::RunnerService;
use crate::runner::RunnerSettings;
use crate::serving::StandinServer;
use sapphirestile_core::StepError;

/// A running test double of a runner; stops when dropped.
pub type RunnerStandin = StandinServer<RunnerService>;

impl RunnerStandin {
    /// Serves a runner on `address`, without injected faults. Port 0 stands for any free port.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_standins::runner::RunnerSettings;
    /// use sapphirestile_standins::runner::RunnerStandin;
    ///
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let standin = RunnerStandin::start(address, RunnerSettings::default()).unwrap();
    /// assert_eq!(standin.service().counts().runs, 0);
    /// ```
    ///
    /// # Errors
    ///
    /// [`StepError`] when the address cannot be bound.
    pub fn start(address: SocketAddr, settings: RunnerSettings) -> Result<Self, Report<StepError>> {
        Self::serve(address, RunnerService::new(settings))
    }
}
