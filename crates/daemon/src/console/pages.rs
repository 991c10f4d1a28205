//! The pages of the console, as HTML.
//!
//! A [`PageFrame`] puts the menu and the revision in force around a body. Bodies
//! and notices are functions from views to text.

mod change_notice;
mod changes_body;
mod confirm_notice;
mod conflict_notice;
mod customers_body;
mod fault_notice;
mod form_parts;
mod message_notice;
mod overview_body;
mod page_frame;
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
pub(super) use page_frame::PageFrame;
pub(super) use part_body::part_body;
pub(super) use sign_in_body::sign_in_body;
pub(super) use text_body::text_body;
