//! Which cell a worker, a job or a request key belongs to, and who owns it.
//!
//! A [`CellMap`] spreads names over a fixed number of cells by a hash, so that
//! every daemon finds the same cell without asking.

mod cell_map;

pub use cell_map::CellMap;
