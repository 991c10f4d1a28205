//! Scenes for tests: daemons as real processes, stand-ins of the platform.
//!
//! A [`SceneFleet`] runs the platform's stand-ins inside the test and daemons as
//! [`DaemonProcess`]es; [`call_json`] talks to their ports and [`wait_until`]
//! looks again and again until something is so.

mod daemon_process;
mod http_calls;
mod link_mode;
mod link_state;
mod patience;
mod piece_way;
mod relay_link;
mod scene_fleet;

pub use daemon_process::DaemonProcess;
pub use http_calls::call;
pub use http_calls::call_json;
pub use link_mode::LinkMode;
pub use patience::wait_until;
pub use relay_link::RelayLink;
pub use scene_fleet::SceneFleet;
pub use scene_fleet::TOKEN;
