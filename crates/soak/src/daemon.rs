//! The daemons of a run.
//!
//! A [`SoakDaemon`] is one life of a process, told from others by its
//! [`ProcessMark`]. It holds a [`CellSeat`] for each cell that it claims or owns;
//! an [`OpenSeat`] drives a real owner as the daemon's cell actor does, and a
//! [`SubmitReply`] waits for the commit that it rests on.

mod cell_seat;
mod open_seat;
mod process_mark;
mod seat_phase;
mod soak_daemon;
mod submit_reply;

pub use cell_seat::CellSeat;
pub use open_seat::OpenSeat;
pub use process_mark::ProcessMark;
pub use seat_phase::SeatPhase;
pub use soak_daemon::SoakDaemon;
pub use submit_reply::SubmitReply;
