//! Support for integration tests: daemons as child processes on a simulated platform.
//!
//! A [`TestFleet`] runs the stand-ins of the platform inside the test process and
//! the daemons as [`DaemonProcess`]es. [`call`] and [`call_json`] send HTTP requests
//! to the daemons' ports, [`wait_until`] polls until a condition is met, and a
//! [`FaultProxy`] simulates network faults between a daemon and another process.

mod daemon_process;
mod fault_proxy;
mod http_calls;
mod polling;
mod proxy_mode;
mod proxy_state;
mod relay_direction;
mod test_fleet;

pub use daemon_process::DaemonProcess;
pub use fault_proxy::FaultProxy;
pub use http_calls::call;
pub use http_calls::call_json;
pub use polling::wait_until;
pub use proxy_mode::ProxyMode;
pub use test_fleet::TOKEN;
pub use test_fleet::TestFleet;
