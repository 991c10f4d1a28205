//! Room on workers.
//!
//! A [`WorkerRoom`] is what the owner of a cell knows of one worker: its whole
//! size, the size given away by attempts assigned there, and the last
//! [`UsageMeasure`]. A [`RoomPolicy`] says how much may be given away. A
//! [`SizeDimension`] names the dimension that a task does not fit in.

mod room_policy;
mod size_dimension;
mod usage_measure;
mod worker_room;

pub use room_policy::RoomPolicy;
pub(crate) use room_policy::WHOLE_PERMILLE;
pub use size_dimension::SizeDimension;
pub use usage_measure::UsageMeasure;
pub use worker_room::WorkerRoom;
