//! Sessions with workers.
//!
//! [`session_bytes`] counts the bytes of a whole call on the wire, heads
//! included, and [`steady_bytes`] those of ten minutes of a busy worker; a
//! [`SessionLoad`] says how many threads a daemon's sessions take.

mod session_bodies;
mod session_load;
mod session_loads;
mod session_size;
mod steady_bytes;
mod steady_worker;
mod wire_bytes;

pub use session_bodies::change_report;
pub use session_bodies::first_request;
pub use session_bodies::incarnation;
pub use session_bodies::later_request;
pub use session_bodies::report_body;
pub use session_bodies::request_body;
pub use session_bodies::whole_report;
pub use session_load::SessionLoad;
pub use session_loads::session_loads;
pub use steady_bytes::steady_bytes;
pub use wire_bytes::session_bytes;
