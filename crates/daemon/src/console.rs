//! The operators' console: forms rendered on the server, without scripts.
//!
//! [`handle_request`] takes a [`ConsoleRequest`] and a [`ConsoleState`], and
//! returns a [`ConsoleStep`]: a [`ConsolePage`] to send, or a [`ConsoleChange`]
//! to write first. The caller writes the change, as it does for the command-line
//! tool, and hands the [`ChangeOutcome`] to [`answer_change`] for the page. All
//! of these are pure functions; the caller reads and writes.
//!
//! Who signs in with the operators' token gets a [`ConsoleSession`] in a sealed
//! cookie, which every daemon with the same token honours. A form carries a seal
//! of the session and the revision that it was shown for. Pages are made of
//! [`HtmlText`], which takes markup from the program only and escapes the rest.

mod answer_change;
mod change_outcome;
mod console_change;
mod console_method;
mod console_page;
mod console_part;
mod console_request;
mod console_session;
mod console_state;
mod console_step;
mod form_fields;
mod form_wish;
mod handle_request;
mod html_text;
mod pages;
mod read_wish;
mod refuse_request;

pub use answer_change::answer_change;
pub use change_outcome::ChangeOutcome;
pub use console_change::ConsoleChange;
pub use console_method::ConsoleMethod;
pub use console_page::ConsolePage;
pub use console_part::ConsolePart;
pub use console_request::ConsoleRequest;
pub use console_session::ConsoleSession;
pub use console_state::ConsoleState;
pub use console_step::ConsoleStep;
pub use form_fields::FormFields;
pub use form_wish::FormWish;
pub use handle_request::handle_request;
pub use html_text::HtmlText;
pub use refuse_request::refuse_request;
