//! The cells that jobs and workers are divided into, as a daemon knows them.
//!
//! Every daemon reads the rows of all cells a few times a second into a [`CellTable`]: the
//! layout, and a [`CellHead`] for each cell that has been claimed. Requests choose a cell
//! from it without a lock.

mod cell_head;
mod cell_table;

pub use cell_head::CellHead;
pub use cell_table::CellTable;
