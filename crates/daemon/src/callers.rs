//! The callers' port.
//!
//! A [`CallerService`] reads a [`CallerRequest`] and has a [`RequestRunner`]
//! take it through its [`sapphirestile_routing::RequestCycle`]: it is received,
//! admitted to a runner with a free slot, recorded by a [`TryRecord`] when it
//! must not run twice, sent, and answered. Without a free slot it waits in the
//! [`WaitingRoom`], counted by a [`WaitingMark`], while its deadline can still
//! be met. What is not answered is a [`CallerRefusal`]. A refusal that says "not run" comes only from the phases in which
//! that is certain, and from no request of which an attempt was lost. Slots of
//! lost attempts wait in the [`ParkingLot`] for the longest time that the
//! runner could still be working. All share one [`CallerDesk`]. A
//! [`RouteSeeker`] finds the runner and answers with a [`SoughtRoute`]; what
//! crosses the link between regions is counted in its [`LinkShare`], the answer
//! by its estimate first, in an [`AnswerCharge`]. A [`TrafficTable`] counts the
//! bytes of each service.

mod answer_charge;
mod attempt_outcome;
mod caller_desk;
mod caller_refusal;
mod caller_reply;
mod caller_request;
mod caller_service;
mod link_share;
mod parking_lot;
mod request_runner;
mod route_seeker;
mod sought_route;
mod traffic_table;
mod try_record;
mod waiting_call;
mod waiting_mark;
mod waiting_room;
mod waiting_turn;
mod waiting_wish;

pub use answer_charge::AnswerCharge;
pub use attempt_outcome::AttemptOutcome;
pub use caller_desk::CallerDesk;
pub use caller_refusal::CallerRefusal;
pub use caller_reply::CallerReply;
pub use caller_request::CallerRequest;
pub use caller_service::CallerService;
pub use link_share::LinkShare;
pub use parking_lot::ParkingLot;
pub use request_runner::RequestRunner;
pub use route_seeker::RouteSeeker;
pub use sought_route::SoughtRoute;
pub use traffic_table::TrafficTable;
pub use try_record::TryRecord;
pub use waiting_mark::WaitingMark;
pub use waiting_room::WaitingRoom;
pub use waiting_turn::WaitingTurn;
pub use waiting_wish::WaitingWish;
