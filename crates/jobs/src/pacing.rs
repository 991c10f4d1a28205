//! How fast tasks that use leftover processor time work beside tasks with callers.
//!
//! Tasks of one image behave alike, so an [`ImageTable`] gives each image an
//! [`ImageNumber`]. A [`DisturbanceBook`] learns from the figures of all workers how
//! much an image slows another down; a [`ServingRun`] and a [`FillingRun`] are what
//! it sees of runs that share a worker. A [`PacePlan`] says which of them go slower,
//! faster or elsewhere.

mod disturbance_book;
mod filling_run;
mod image_number;
mod image_table;
mod pace_plan;
mod pace_step;
mod serving_run;

pub use disturbance_book::DisturbanceBook;
pub use filling_run::FillingRun;
pub use image_number::ImageNumber;
pub use image_table::ImageTable;
pub use pace_plan::PacePlan;
pub use pace_step::PaceStep;
pub use serving_run::ServingRun;
