//! Serves a store on an address.

use std::net::SocketAddr;

use error_stack::Report;

use crate::serving::StandinServer;
use crate::store::StoreFaults;
use crate::store::StoreService;
use sapphirestile_core::StepError;

/// A running test double of the platform's store; stops when dropped.
pub type StoreStandin = StandinServer<StoreService>;

impl StoreStandin {
    /// Serves an empty store on `address`, with `faults` in effect. Port 0 stands for any free
    /// port.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_standins::store::StoreFaults;
    /// use sapphirestile_standins::store::StoreStandin;
    ///
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let standin = StoreStandin::start(address, StoreFaults::default()).unwrap();
    /// assert_eq!(standin.service().counts().ranges, 0);
    /// ```
    ///
    /// # Errors
    ///
    /// [`StepError`] when the address cannot be bound.
    pub fn start(address: SocketAddr, faults: StoreFaults) -> Result<Self, Report<StepError>> {
        Self::serve(address, StoreService::new(faults))
    }
}
