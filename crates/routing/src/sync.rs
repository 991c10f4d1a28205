//! The atomic types of the request path: those of loom with the feature `loom`, of std
//! otherwise.

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
