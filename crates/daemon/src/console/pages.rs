//! The pages of the console, as HTML.
//!
//! A [`PageLayout`] adds the menu and the revision in force to a body. The functions for
//! bodies and notices turn state into HTML.

mod change_notice;
mod changes_body;
mod confirm_notice;
mod conflict_notice;
mod customers_body;
mod fault_notice;
mod form_parts;
mod message_notice;
mod overview_body;
mod page_layout;
mod part_body;
mod services_body;
mod sign_in_body;
mod text_body;
mod zones_body;

pub(super) use change_notice::change_notice;
pub(super) use confirm_notice::confirm_notice;
pub(super) use conflict_notice::conflict_notice;
pub(super) use fault_notice::fault_notice;
pub(super) use message_notice::message_notice;
pub(super) use page_layout::PageLayout;
pub(super) use part_body::part_body;
pub(super) use sign_in_body::sign_in_body;
pub(super) use text_body::text_body;
