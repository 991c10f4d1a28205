//! Serves a list of VMs on an address.

use std::net::SocketAddr;

use error_stack::Report;

use crate::serving::StandinServer;
use crate::vms::VmListFaults;
use crate::vms::VmListService;
use sapphirestile_core::StepError;

/// A running test double of the platform's list of VMs; stops when dropped.
pub type VmListStandin = StandinServer<VmListService>;

impl VmListStandin {
    /// Serves an empty list on `address`, with `faults` in effect. Port 0 stands for any free
    /// port.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_standins::vms::VmListFaults;
    /// use sapphirestile_standins::vms::VmListStandin;
    ///
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let standin = VmListStandin::start(address, VmListFaults::default()).unwrap();
    /// assert_ne!(standin.address().port(), 0);
    /// ```
    ///
    /// # Errors
    ///
    /// [`StepError`] when the address cannot be bound.
    pub fn start(address: SocketAddr, faults: VmListFaults) -> Result<Self, Report<StepError>> {
        Self::serve(address, VmListService::new(faults))
    }
}
