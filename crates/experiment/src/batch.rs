//! Fake workers, and the owner that decides for them.
//!
//! A [`BatchWorld`] runs [`FakeTask`]s on [`FakeWorker`]s second by second and
//! tells of [`TaskEvent`]s and, late, of usage as [`WorkerReport`]s. A
//! [`BatchOwner`] decides with the placement crate: its `TaskPlacer` starts
//! tasks, its `PressureKeeper` deals with disturbance, its `FailureKeeper` with
//! failures and its `ZoneKeeper` with the zone that leaves and returns.

mod baseline_choice;
mod batch_owner;
mod batch_world;
mod cpu_share;
mod failure_keeper;
mod fake_task;
mod fake_worker;
mod hold_keeper;
mod owner_setup;
mod pressure_keeper;
mod run_record;
mod task_assignment;
mod task_book;
mod task_event;
mod task_place;
mod task_placer;
mod task_usage;
mod worker_report;
mod zone_keeper;

pub(crate) use batch_owner::BatchOwner;
pub(crate) use batch_world::BatchWorld;
pub(crate) use fake_task::FakeTask;
pub(crate) use fake_worker::FakeWorker;
pub(crate) use task_event::TaskEvent;
pub(crate) use task_place::TaskPlace;
pub(crate) use task_usage::TaskUsage;
pub(crate) use worker_report::WorkerReport;
