//! Assignment of workers, jobs, request keys and customers to cells.
//!
//! A [`CellMap`] spreads names over a fixed number of cells by a hash, so that
//! every daemon finds the same cell without communication.

mod cell_map;

pub use cell_map::CellMap;
