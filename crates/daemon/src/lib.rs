//! The daemon sapphirestiled and the operations it runs.

pub mod console;
pub mod settings;
