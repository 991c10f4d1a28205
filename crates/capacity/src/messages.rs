//! Sizes of encoded messages; exact, the same on every machine.

mod cell_sizes;
mod document_sizes;
mod peer_sizes;
mod share_sizes;

use crate::ResultTable;
use crate::SizeScale;

/// The sizes of all messages over several sizes of the installation.
///
/// # Examples
///
/// ```
/// use sapphirestile_capacity::SizeScale;
/// use sapphirestile_capacity::message_sizes;
///
/// assert_eq!(message_sizes(SizeScale::Smallest).len(), 11);
/// ```
#[must_use]
pub fn message_sizes(scale: SizeScale) -> Vec<ResultTable> {
    vec![
        peer_sizes::heartbeats(scale),
        peer_sizes::token_reports(scale),
        peer_sizes::slowdown_reports(scale),
        peer_sizes::token_ledgers(scale),
        cell_sizes::entries(scale),
        cell_sizes::snapshots(scale),
        share_sizes::snapshots(scale),
        share_sizes::messages(scale),
        document_sizes::documents(scale),
        document_sizes::vm_lists(scale),
        document_sizes::session_bodies(scale),
    ]
}
