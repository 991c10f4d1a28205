//! The atomics of the request's path, replaced by loom's under its feature.

#[cfg(feature = "loom")]
pub use loom::sync::atomic::AtomicU32;
#[cfg(feature = "loom")]
pub use loom::sync::atomic::AtomicU64;
#[cfg(feature = "loom")]
pub use loom::sync::atomic::Ordering;
#[cfg(not(feature = "loom"))]
pub use std::sync::atomic::AtomicU32;
#[cfg(not(feature = "loom"))]
pub use std::sync::atomic::AtomicU64;
#[cfg(not(feature = "loom"))]
pub use std::sync::atomic::Ordering;
