//! Sessions with workers.
//!
//! [`session_bytes`] counts the bytes of a whole call on the wire, heads
//! included; a [`SessionLoad`] says how many threads a daemon's sessions take.

mod session_bodies;
mod session_load;
mod session_loads;
mod wire_bytes;

pub use session_bodies::session_report;
pub use session_bodies::session_request;
pub use session_load::SessionLoad;
pub use session_loads::session_loads;
pub use wire_bytes::session_bytes;
