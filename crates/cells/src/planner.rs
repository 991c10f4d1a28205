//! Which waiting tasks start, and where.
//!
//! A [`StartPlanner`] walks the queue of a cell by the rules of
//! `sapphirestile_placement` and returns [`PlannedStart`]s. It looks at the cell
//! through a [`PlanView`]. Where an urgent task finds no room, a [`RoomMaker`] has
//! tasks of the backlog make some: [`EvictionOrder`]s. Where a large task of the
//! backlog finds none for long, a [`HoldKeeper`] holds a worker for it. What it has
//! learnt of sizes, failures and workers is not lasting: a new owner begins with
//! what was declared.

mod eviction_order;
mod held_worker;
mod hold_keeper;
mod plan_view;
mod planned_start;
mod room_book;
mod room_hold;
mod room_maker;
mod start_planner;

pub use eviction_order::EvictionOrder;
pub use plan_view::PlanView;
pub use planned_start::PlannedStart;
pub use start_planner::StartPlanner;

use held_worker::HeldWorker;
use hold_keeper::HoldKeeper;
use room_book::RoomBook;
use room_hold::RoomHold;
use room_maker::RoomMaker;
