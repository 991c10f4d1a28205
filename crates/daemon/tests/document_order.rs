//! The order of documents by revision.

use sapphirestile_core::ConfigRevision;
use sapphirestile_daemon::context::RcuValue;
use sapphirestile_daemon::document::ActiveDocument;
use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::DocumentChange;
use sapphirestile_wire::api::StoredDocument;

fn document(revision: u64) -> ActiveDocument {
    let change = DocumentChange {
        based_on: ConfigRevision::new(0),
        text: format!("[region r]\nlink_mbit = {revision}\n"),
        author: AuthorName::try_from("operator-1").unwrap(),
        dry_run: false,
    };
    let stored = StoredDocument::successor(None, &change, 0);
    ActiveDocument::parse(stored, ConfigRevision::new(revision)).unwrap()
}

#[test]
fn a_document_is_never_replaced_by_an_earlier_one() {
    let holder = RcuValue::new(ActiveDocument::default());
    for (arrived, in_force) in [(4, 4), (9, 9), (7, 9), (9, 9), (12, 12)] {
        let arrived = document(arrived);
        holder.update(|current| current.later(&arrived).clone());
        assert_eq!(holder.load().revision().get(), in_force);
    }
}
