//! Division of the workers into cells, each with an owner of its own.
//!
//! A [`CellLayout`] assigns whole racks to cells and only grows, so a worker never moves
//! between two owners. A [`FleetDivision`] selects the workers of one cell from the list of
//! all workers, and proposes the layout's next version. A [`CellLoad`] tells other daemons
//! how much room a cell has, by a [`ServiceRoom`] for each service; a [`CellChoice`]
//! compares them for the [`JobNeed`] of a job. A [`VacancyTable`] has the largest
//! [`WorkerVacancy`]s of all cells, for single tasks that find no worker in their own; a
//! [`RestartNeed`] tells all cells of one for which none has a worker.

mod cell_choice;
mod cell_layout;
mod cell_load;
mod cell_report;
mod fleet_division;
mod job_need;
mod rack_size;
mod restart_need;
mod service_room;
mod vacancy_census;
mod vacancy_selection;
mod vacancy_table;
mod worker_vacancy;

pub use cell_choice::CellChoice;
pub use cell_layout::CellLayout;
pub use cell_load::CellLoad;
pub use cell_report::CellReport;
pub use fleet_division::FleetDivision;
pub use job_need::JobNeed;
pub use rack_size::RackSize;
pub use restart_need::RestartNeed;
pub use service_room::ServiceRoom;
pub use vacancy_census::VacancyCensus;
pub use vacancy_table::VacancyTable;
pub use worker_vacancy::WorkerVacancy;

pub(crate) use vacancy_selection::VacancySelection;
