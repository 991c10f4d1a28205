//! Bytes and threads of sessions with workers.
//!
//! [`session_bytes`] counts the bytes of a request and its response on the wire, HTTP heads
//! included, and [`busy_worker_bytes()`] those of ten minutes of a busy worker; a
//! [`SessionLoad`] calculates the thread time of a daemon's sessions.

mod busy_worker;
mod busy_worker_bytes;
mod exchange_bytes;
mod session_bodies;
mod session_load;
mod session_loads;
mod wire_bytes;

pub use busy_worker_bytes::busy_worker_bytes;
pub use session_bodies::full_report;
pub use session_bodies::full_request;
pub use session_bodies::incarnation;
pub use session_bodies::incremental_report;
pub use session_bodies::incremental_request;
pub use session_bodies::request_body;
pub use session_bodies::response_body;
pub use session_load::SessionLoad;
pub use session_loads::session_loads;
pub use wire_bytes::session_bytes;
