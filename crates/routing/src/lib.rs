//! Load balancing of requests over runners, admission control and retries.
//!
//! This crate does no I/O, reads no clock and draws no random numbers.
//!
//! A daemon has one [`PublishedTable`]. Its writer builds a [`RoutingTable`] of
//! [`RunnerRow`]s whenever the document or the list of runners changes, and publishes
//! it; readers load it without a lock. Each row refers to the [`RunnerGauge`] of its
//! runner, which holds the tokens, the requests in flight and the observed latency and
//! failures. A [`GaugeRegistry`] keeps the gauges when a table is replaced.
//!
//! [`RoutingTable::choose`] takes a [`RouteQuery`] and returns a [`RouteChoice`], which
//! holds a slot as a [`SlotGuard`], or a [`RouteRefusal`], which always means that the
//! request was not run. A [`RequestCycle`] is the life cycle of the request. If a
//! request gets no answer, its slot is released later, by a [`PendingRelease`].
//!
//! Under load, a [`WaitingQueue`] orders requests by [`RequestPriority`] and admits only
//! those that can meet their deadlines; a [`ConcurrencyLimit`] adapts to the observed
//! latency; a [`RetryBudget`] limits retries and hedged requests; an [`EjectionPolicy`]
//! temporarily removes slow and failing runners. A [`LinkBudget`] keeps bulk requests
//! from saturating the link between regions: an answer is charged at its expected
//! [`AnswerSize`] first and at its real size once it has arrived. [`ServiceTraffic`]
//! counts the bytes of a service by distance, with [`ByteCounters`] for each direction.
//!
//! Outside the request path, a [`SlowdownMeter`] compares the latency of each runner of
//! a service with its baseline latency and reports a [`RunnerSlowdown`] for each.

mod answer_size;
mod byte_counters;
mod concurrency_limit;
mod ejection_policy;
mod gauge_registry;
mod link_budget;
mod pending_release;
mod pending_releases;
mod published_table;
mod queue_outcome;
mod record_proof;
mod request_attributes;
mod request_cycle;
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
mod runner_state;
mod service_pool;
mod service_traffic;
mod slot_guard;
mod slowdown_meter;
mod split_mix;
mod sync;
mod wait_estimate;
mod waiting_entry;
mod waiting_queue;

pub use answer_size::AnswerSize;
pub use byte_counters::ByteCounters;
pub use concurrency_limit::ConcurrencyLimit;
pub use ejection_policy::EjectionPolicy;
pub use gauge_registry::GaugeRegistry;
pub use link_budget::LinkBudget;
pub use pending_release::PendingRelease;
pub use pending_releases::PendingReleases;
pub use published_table::PublishedTable;
pub use queue_outcome::QueueOutcome;
pub use record_proof::RecordProof;
pub use request_attributes::RequestAttributes;
pub use request_cycle::AdmittedPhase;
pub use request_cycle::AnsweredPhase;
pub use request_cycle::NotRunPhase;
pub use request_cycle::ReceivedPhase;
pub use request_cycle::RequestCycle;
pub use request_cycle::SentPhase;
pub use request_cycle::UnknownPhase;
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
pub use runner_state::RunnerState;
pub use service_traffic::ServiceTraffic;
pub use slot_guard::SlotGuard;
pub use slowdown_meter::SlowdownMeter;
pub use wait_estimate::WaitEstimate;
pub use waiting_entry::WaitingEntry;
pub use waiting_queue::WaitingQueue;
