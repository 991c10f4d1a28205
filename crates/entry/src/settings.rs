//! Settings of the daemon.
//!
//! [`EntrySettings`] are read from INI text: [`NodeSettings`], [`PortSettings`],
//! [`TargetSettings`] and [`BoundSettings`]. A [`SettingsFault`] lists all errors at
//! once.

mod bound_settings;
mod entry_settings;
mod node_settings;
mod port_settings;
mod settings_fault;
mod target_settings;

pub use bound_settings::BoundSettings;
pub use entry_settings::EntrySettings;
pub use node_settings::NodeSettings;
pub use port_settings::PortSettings;
pub use settings_fault::SettingsFault;
pub use target_settings::TargetSettings;
