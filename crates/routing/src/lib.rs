//! Choice of a runner for each request, admission and retries.
//!
//! Nothing here does I/O, reads a clock or draws a random number.
//!
//! A daemon keeps one [`TableCell`]. Its writer makes a [`RoutingTable`] of
//! [`RunnerRow`]s whenever the document or the list of runners changes and
//! publishes it; readers load it without a lock. Each row holds the
//! [`RunnerGauge`] of its runner, which a [`GaugeRegistry`] keeps across tables:
//! the tokens held, the requests in flight, and what was observed.
//!
//! [`RoutingTable::choose`] answers a [`RouteQuery`] with a [`RouteChoice`],
//! which holds a slot as a [`SlotGuard`], or with a [`RouteRefusal`], which
//! always means that the request was not run. The life of the request itself is
//! a [`RequestCycle`]; a slot whose request had no answer waits as a
//! [`ParkedSlot`].

mod gauge_registry;
mod parked_slot;
mod parked_slots;
mod random_draw;
mod record_proof;
mod request_cycle;
mod request_facts;
mod request_key;
mod route_choice;
mod route_query;
mod route_reach;
mod route_refusal;
mod routing_table;
mod runner_gauge;
mod runner_row;
mod service_pool;
mod slot_guard;
mod sync;
mod table_cell;

pub use gauge_registry::GaugeRegistry;
pub use parked_slot::ParkedSlot;
pub use parked_slots::ParkedSlots;
pub use record_proof::RecordProof;
pub use request_cycle::AdmittedPhase;
pub use request_cycle::AnsweredPhase;
pub use request_cycle::NotRunPhase;
pub use request_cycle::ReceivedPhase;
pub use request_cycle::RequestCycle;
pub use request_cycle::SentPhase;
pub use request_cycle::UnknownPhase;
pub use request_facts::RequestFacts;
pub use request_key::KeyFault;
pub use request_key::RequestKey;
pub use route_choice::RouteChoice;
pub use route_query::RouteQuery;
pub use route_reach::RouteReach;
pub use route_refusal::RouteRefusal;
pub use routing_table::RoutingTable;
pub use runner_gauge::RunnerGauge;
pub use runner_row::RunnerRow;
pub use slot_guard::SlotGuard;
pub use table_cell::TableCell;
