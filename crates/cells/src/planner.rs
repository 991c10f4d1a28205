//! Planning of starts: which waiting tasks run, and on which worker.
//!
//! A [`StartPlanner`] walks a cell's queue by the rules of `sapphirestile_placement`
//! and returns [`PlannedStart`]s. It reads the cell through a [`PlanView`] and keeps
//! the capacity left in a [`PlanState`]. For an urgent task that fits nowhere, an
//! [`EvictionPlanner`] picks tasks of the backlog to stop: [`EvictionRequest`]s. For a
//! large task of the backlog that fits nowhere for long, a [`WorkerReserver`] reserves
//! a worker. What the planner learns about sizes, failures and workers is not durable:
//! a new owner starts with the declared sizes.

mod eviction_planner;
mod eviction_request;
mod large_reservation;
mod plan_state;
mod plan_view;
mod planned_start;
mod start_planner;
mod urgent_reservation;
mod worker_reserver;

pub use eviction_request::EvictionRequest;
pub use plan_view::PlanView;
pub use planned_start::PlannedStart;
pub use start_planner::StartPlanner;

use eviction_planner::EvictionPlanner;
use large_reservation::LargeReservation;
use plan_state::PlanState;
use urgent_reservation::UrgentReservation;
use worker_reserver::WorkerReserver;
