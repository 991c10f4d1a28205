//! Leave to start tasks: which workers may run a step.
//!
//! A queue whose policy has [`AdviceTerms`] allows only some workers to run a step. An
//! advisor outside knows which: an [`AdviceOrder`] asks it about workers, and an
//! [`AdviceOutcome`] gives a [`PlacementTicket`] for each that may. A start carries
//! the ticket. An [`AdviceBook`] remembers what was said of each step, and says of
//! whom to ask next.

mod advice_book;
mod advice_order;
mod advice_outcome;
mod advice_terms;
mod asked_question;
mod placement_ticket;
mod step_address;
mod step_advice;

pub use advice_book::AdviceBook;
pub use advice_order::AdviceOrder;
pub use advice_outcome::AdviceOutcome;
pub use advice_terms::AdviceTerms;
pub use placement_ticket::PlacementTicket;
pub use step_address::StepAddress;

pub(crate) use asked_question::AskedQuestion;
pub(crate) use step_advice::StepAdvice;
