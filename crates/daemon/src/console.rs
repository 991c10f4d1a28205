//! The operators' console: forms rendered on the server, without scripts.
//!
//! [`handle_request`] takes a [`ConsoleRequest`] and a [`ConsoleState`], and
//! returns a [`ConsoleStep`]: a [`ConsolePage`] to send, or a [`ConsoleChange`] to write
//! first. The calling code writes the change as it does for the command-line tool, and
//! passes the [`ConsoleOutcome`] to [`render_outcome`] to get the page. These functions
//! are pure; reading and writing is left to the calling code.
//!
//! An operator who signs in with the operators' token gets a [`ConsoleSession`] in a
//! signed cookie, which is valid at every daemon with the same token. Each form carries
//! a signature of the session and the document revision it was rendered for. Pages are
//! built of [`HtmlText`], which escapes everything except the markup in the program.

mod console_change;
mod console_method;
mod console_outcome;
mod console_page;
mod console_part;
mod console_request;
mod console_session;
mod console_state;
mod console_step;
mod form_action;
mod form_fields;
mod handle_request;
mod html_text;
mod pages;
mod parse_form;
mod refuse_request;
mod render_outcome;

pub use console_change::ConsoleChange;
pub use console_method::ConsoleMethod;
pub use console_outcome::ConsoleOutcome;
pub use console_page::ConsolePage;
pub use console_part::ConsolePart;
pub use console_request::ConsoleRequest;
pub use console_session::ConsoleSession;
pub use console_state::ConsoleState;
pub use console_step::ConsoleStep;
pub use form_action::FormAction;
pub use form_fields::FormFields;
pub use handle_request::handle_request;
pub use html_text::HtmlText;
pub use refuse_request::refuse_request;
pub use render_outcome::render_outcome;
