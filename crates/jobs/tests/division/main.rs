//! Division of workers and jobs among cells.

mod cell_choice;
mod cell_layout;
mod fleet_division;
mod test_values;
