//! How fast tasks that use leftover processor time work beside tasks with callers.

mod pace_keeper;

pub use pace_keeper::PaceKeeper;
