//! Simulated workers and the scheduler of their tasks.
//!
//! A [`SimulatedCluster`] runs [`SimulatedTask`]s on [`SimulatedWorker`]s in steps
//! of one second. It emits [`TaskEvent`]s at once and, with a delay, the usage of
//! tasks in [`WorkerReport`]s. A [`BatchScheduler`] reacts with the placement
//! crate: its `TaskPlacer` starts tasks, its `InterferenceController` throttles
//! tasks that slow down runners, its `FailureTracker` decides on retries and
//! quarantines workers, and its `ZoneDrainer` moves tasks out of a zone that is
//! taken out of service.

mod batch_scheduler;
mod cpu_demand;
mod failure_tracker;
mod interference_controller;
mod reservation_policy;
mod runtime_statistics;
mod scheduler_setup;
mod simulated_cluster;
mod simulated_task;
mod simulated_worker;
mod task_assignment;
mod task_event;
mod task_execution;
mod task_numbering;
mod task_placer;
mod task_usage;
mod worker_report;
mod worker_selector;
mod zone_drainer;

pub(crate) use batch_scheduler::BatchScheduler;
pub(crate) use simulated_cluster::SimulatedCluster;
pub(crate) use simulated_task::SimulatedTask;
pub(crate) use simulated_worker::SimulatedWorker;
pub(crate) use task_event::TaskEvent;
pub(crate) use task_execution::TaskExecution;
pub(crate) use task_usage::TaskUsage;
pub(crate) use worker_report::WorkerReport;
