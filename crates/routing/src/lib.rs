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
//!
//! Under load, a [`WaitingQueue`] keeps only requests that can still meet their
//! deadlines, by [`RequestPriority`]; a [`ConcurrencyLimit`] follows the latency
//! observed; retries and hedges come out of a [`RetryBudget`]; an
//! [`EjectionPolicy`] takes slow and failing runners out of the choices for a
//! while. A [`LinkBudget`] keeps bulk requests from filling the link between
//! regions: the answers are counted by an [`AnswerEstimate`] first and by their size
//! once they came. [`ServiceTraffic`] counts the bytes of a service by distance with
//! a [`LinkMeter`] each way.
//!
//! Off the path of requests, a [`SlowdownMeter`] compares the latencies of a
//! service's runners with their undisturbed ones, a [`RunnerSlowdown`] each.

mod answer_estimate;
mod concurrency_limit;
mod ejection_policy;
mod gauge_registry;
mod link_budget;
mod link_meter;
mod parked_slot;
mod parked_slots;
mod queue_outcome;
mod random_draw;
mod record_proof;
mod request_cycle;
mod request_facts;
mod request_priority;
mod retried_request;
mod retry_budget;
mod route_choice;
mod route_query;
mod route_reach;
mod route_refusal;
mod routing_table;
mod runner_gauge;
mod runner_row;
mod runner_slowdown;
mod runner_standing;
mod service_pool;
mod service_traffic;
mod slot_guard;
mod slowdown_meter;
mod sync;
mod table_cell;
mod wait_estimate;
mod waiting_entry;
mod waiting_queue;

pub use answer_estimate::AnswerEstimate;
pub use concurrency_limit::ConcurrencyLimit;
pub use ejection_policy::EjectionPolicy;
pub use gauge_registry::GaugeRegistry;
pub use link_budget::LinkBudget;
pub use link_meter::LinkMeter;
pub use parked_slot::ParkedSlot;
pub use parked_slots::ParkedSlots;
pub use queue_outcome::QueueOutcome;
pub use record_proof::RecordProof;
pub use request_cycle::AdmittedPhase;
pub use request_cycle::AnsweredPhase;
pub use request_cycle::NotRunPhase;
pub use request_cycle::ReceivedPhase;
pub use request_cycle::RequestCycle;
pub use request_cycle::SentPhase;
pub use request_cycle::UnknownPhase;
pub use request_facts::RequestFacts;
pub use request_priority::RequestPriority;
pub use retried_request::RetriedRequest;
pub use retry_budget::RetryBudget;
pub use route_choice::RouteChoice;
pub use route_query::RouteQuery;
pub use route_reach::RouteReach;
pub use route_refusal::RouteRefusal;
pub use routing_table::RoutingTable;
pub use runner_gauge::RunnerGauge;
pub use runner_row::RunnerRow;
pub use runner_slowdown::RunnerSlowdown;
pub use runner_standing::RunnerStanding;
pub use service_traffic::ServiceTraffic;
pub use slot_guard::SlotGuard;
pub use slowdown_meter::SlowdownMeter;
pub use table_cell::TableCell;
pub use wait_estimate::WaitEstimate;
pub use waiting_entry::WaitingEntry;
pub use waiting_queue::WaitingQueue;
