//! The callers' port.
//!
//! A [`CallerService`] takes a request through its
//! [`sapphirestile_routing::RequestCycle`]: it is received, admitted to a runner
//! with a free slot, recorded when it must not run twice, sent, and answered. A
//! refusal that says "not run" comes only from the phases in which that is
//! certain. Slots of requests without an answer wait in the [`ParkingLot`] for
//! the longest time that the runner could still be working.

mod caller_reply;
mod caller_request;
mod caller_service;
mod parking_lot;

pub use caller_reply::CallerReply;
pub use caller_request::CallerRequest;
pub use caller_service::CallerService;
pub use parking_lot::ParkingLot;
