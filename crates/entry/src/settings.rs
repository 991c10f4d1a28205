//! Settings of the daemon.
//!
//! [`EntrySettings`] are read from INI text: [`NodeSettings`], [`PortSettings`],
//! [`TargetSettings`] and [`BoundSettings`]. A [`SettingsError`] lists all errors at
//! once.

mod bound_settings;
mod entry_settings;
mod node_settings;
mod port_settings;
mod settings_error;
mod target_settings;

pub use bound_settings::BoundSettings;
pub use entry_settings::EntrySettings;
pub use node_settings::NodeSettings;
pub use port_settings::PortSettings;
pub use settings_error::SettingsError;
pub use target_settings::TargetSettings;
