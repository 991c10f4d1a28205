//! Serves the list of VMs.

use std::net::SocketAddr;

use error_stack::Report;

use crate::serving::StandinServer;
use crate::vms::VmFaults;
use crate::vms::VmService;
use sapphirestile_core::StepError;

/// A running stand-in of the platform's list of VMs; stops when dropped.
pub type VmStandin = StandinServer<VmService>;

impl VmStandin {
    /// Serves an empty list on `address`; port 0 takes any free port.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_standins::vms::VmFaults;
    /// use sapphirestile_standins::vms::VmStandin;
    ///
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let standin = VmStandin::start(address, VmFaults::default()).unwrap();
    /// assert_ne!(standin.address().port(), 0);
    /// ```
    ///
    /// # Errors
    ///
    /// [`StepError`] when the address cannot be bound.
    pub fn start(address: SocketAddr, faults: VmFaults) -> Result<Self, Report<StepError>> {
        Self::serve(address, VmService::new(faults))
    }
}
