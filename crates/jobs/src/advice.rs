//! Placement advice: which workers are allowed to run a step.
//!
//! In a queue whose policy has [`AdvisorTiming`], only some workers may run a step. An
//! external advisor decides which: an [`AdviceRequest`] asks it about a set of workers,
//! and the [`AdviceOutcome`] has a [`PlacementTicket`] for each allowed one. Every start
//! of a task carries the ticket of its worker. An [`AdviceCache`] keeps the answers by
//! step, and knows which workers a further request could help with.

mod advice_cache;
mod advice_outcome;
mod advice_request;
mod advisor_timing;
mod pending_advice;
mod placement_ticket;
mod step_advice;
mod step_identity;

pub use advice_cache::AdviceCache;
pub use advice_outcome::AdviceOutcome;
pub use advice_request::AdviceRequest;
pub use advisor_timing::AdvisorTiming;
pub use placement_ticket::PlacementTicket;
pub use step_identity::StepIdentity;

pub(crate) use pending_advice::PendingAdvice;
pub(crate) use step_advice::StepAdvice;
