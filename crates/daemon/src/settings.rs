//! The settings of a daemon, read from INI text.
//!
//! [`DaemonSettings`] reads the whole text. [`NodeSettings`] hold the name, location and
//! addresses of the daemon, [`PlatformSettings`] the addresses of the platform,
//! [`PeerSettings`] how other daemons are found and authenticated, [`OperatorSettings`] how
//! operators are authenticated, and [`LimitSettings`] limits and intervals. A
//! [`SettingsError`] lists all faults at once.
//!
//! ```ini
//! [daemon]
//! name = hki-1
//! zone = rannikko-hki
//! region = rannikko
//! callers = 10.0.1.4:8080
//! operators = 10.0.1.4:7070
//! peers = 10.0.1.4:7071
//!
//! [platform]
//! store = 10.0.0.2:2379
//! vms = 10.0.0.3:8000
//!
//! [peers]
//! seeds = 10.0.1.5:7071, 10.0.2.4:7071
//! key = at-least-16-characters
//!
//! [operators]
//! token = at-least-16-characters
//!
//! [limits]
//! request_max_ms = 30000
//! ```

mod daemon_settings;
mod limit_settings;
mod node_settings;
mod operator_settings;
mod peer_settings;
mod platform_settings;
mod settings_error;
mod shared_key;

pub use daemon_settings::DaemonSettings;
pub use limit_settings::LimitSettings;
pub use node_settings::NodeSettings;
pub use operator_settings::OperatorSettings;
pub use peer_settings::PeerSettings;
pub use platform_settings::PlatformSettings;
pub use settings_error::SettingsError;
pub use shared_key::SharedKey;
