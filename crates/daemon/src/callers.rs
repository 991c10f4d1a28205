//! The port for callers, which send requests to services.
//!
//! A [`CallerService`] reads a [`CallerRequest`], and a [`RequestHandler`] takes it
//! through its [`sapphirestile_routing::RequestCycle`]. A [`RouteFinder`] chooses a
//! runner with a free slot and returns it as an [`AdmittedRoute`]. While there is no
//! free slot and the deadline can still be met, the request waits in the
//! [`ServiceQueues`], with a [`QueueTicket`], and a [`WaitingGuard`] counts it in its
//! service's traffic. A request that must not run twice is recorded by an
//! [`IdempotencyRecord`] before it is sent.
//!
//! The result is a [`CallerReply`]; one without a runner's response is sent as a
//! [`CallerRefusal`]. A refusal says "not run" only in those phases of the cycle in which
//! that is certain, and only if no earlier attempt may have run. The slot of an attempt
//! that got no response waits in the [`ReleaseQueue`] for as long as the runner may still
//! be working on it.
//!
//! Bytes that cross the link between regions are counted in the daemon's [`LinkShare`].
//! An answer is counted with its estimated size when its request is admitted, as an
//! [`AnswerReservation`]. A [`TrafficTable`] counts the bytes of each service. The
//! [`AdmissionState`] holds what all requests share.

mod admission_state;
mod admitted_route;
mod answer_reservation;
mod attempt_outcome;
mod caller_refusal;
mod caller_reply;
mod caller_request;
mod caller_service;
mod idempotency_record;
mod link_share;
mod queue_ticket;
mod queued_request;
mod release_queue;
mod request_handler;
mod route_finder;
mod service_queues;
mod traffic_table;
mod wait_parameters;
mod waiting_guard;

pub use admission_state::AdmissionState;
pub use admitted_route::AdmittedRoute;
pub use answer_reservation::AnswerReservation;
pub use attempt_outcome::AttemptOutcome;
pub use caller_refusal::CallerRefusal;
pub use caller_reply::CallerReply;
pub use caller_request::CallerRequest;
pub use caller_service::CallerService;
pub use idempotency_record::IdempotencyRecord;
pub use link_share::LinkShare;
pub use queue_ticket::QueueTicket;
pub use release_queue::ReleaseQueue;
pub use request_handler::RequestHandler;
pub use route_finder::RouteFinder;
pub use service_queues::ServiceQueues;
pub use traffic_table::TrafficTable;
pub use wait_parameters::WaitParameters;
pub use waiting_guard::WaitingGuard;
