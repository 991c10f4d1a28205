//! What a panic ends: one connection, or the process.

mod panic_hook;

pub use panic_hook::PanicHook;
