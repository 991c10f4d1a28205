//! Choice of a worker for each batch task.
//!
//! Pure decisions: time and random numbers are passed in. The flow of one
//! placement begins with a [`PlacementRequest`], a borrowed view of a waiting
//! task, and the [`WorkerRoom`] of each worker of the cell. [`choose_worker`]
//! checks the hard dimensions under a [`RoomPolicy`], ranks the workers that
//! have room, and answers with a [`PlacementChoice`] or a
//! [`PlacementRefusal`]. Both explain themselves. The caller then calls
//! [`WorkerRoom::give`], which asserts that the room is there.

mod choice;
mod room;

pub use choice::ChoiceReason;
pub use choice::CustomerRoom;
pub use choice::PlacedTasks;
pub use choice::PlacementChoice;
pub use choice::PlacementRefusal;
pub use choice::PlacementRequest;
pub use choice::choose_worker;
pub use room::RoomPolicy;
pub use room::SizeDimension;
pub use room::UsageMeasure;
pub use room::WorkerRoom;
