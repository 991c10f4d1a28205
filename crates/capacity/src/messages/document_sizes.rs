//! Sizes of JSON bodies: the stored document, the list of VMs and worker sessions.

use std::fmt::Write as _;

use sapphirestile_core::ConfigRevision;
use sapphirestile_core::MonoTime;
use sapphirestile_standins::vms::VmListVersion;
use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::DocumentChange;
use sapphirestile_wire::api::RECENT_CHANGES_MAX;
use sapphirestile_wire::api::StoredDocument;

use crate::ResultTable;
use crate::SizeSelection;
use crate::fixtures::VmListFixture;
use crate::fixtures::zone_sections;
use crate::sessions::full_report;
use crate::sessions::full_request;
use crate::sessions::request_body;
use crate::sessions::response_body;

const CHANGED_UNIX_MS: u64 = 1_790_000_000_000;

/// Measures the store's row of the operators' document by customers and services.
pub fn documents(selection: SizeSelection) -> ResultTable {
    let mut table = ResultTable::new(
        "Row of the operators' document, with twenty recent changes",
        &["customers", "services", "text", "row"],
    );
    for &customers in selection.select(&[5, 46, 460]) {
        let mut text = document_text(customers);
        let mut document = successor(None, &text);
        for change in 0..RECENT_CHANGES_MAX {
            text = format!("{text}[customer extra-{change}]\ncpu_milli = 1\nmemory_mb = 1\n");
            document = successor(Some(&document), &text);
        }
        let row = document.to_bytes().len();
        table.add(&[&customers, &customers, &text.len(), &row]);
    }
    table
}

/// Measures the list of VMs, plain and compressed with gzip.
pub fn vm_lists(selection: SizeSelection) -> ResultTable {
    let mut table = ResultTable::new("List of VMs", &["VMs", "bytes", "compressed"]);
    for &count in selection.select(&[500, 2_000, 8_700, 13_325]) {
        let version = VmListVersion::new(MonoTime::from_millis(0), VmListFixture::sorted(count));
        table.add(&[&count, &version.body.len(), &version.gzip_body.len()]);
    }
    table
}

/// Measures the bodies of a worker session by the tasks of the worker.
pub fn session_bodies(selection: SizeSelection) -> ResultTable {
    let mut table = ResultTable::new(
        "Bodies of a session by the tasks of the worker",
        &["tasks", "request", "request with as many settled", "report"],
    );
    for &tasks in selection.select(&[1, 8, 22, 32]) {
        let unsettled = request_body(&full_request(0)).len();
        let settling = request_body(&full_request(tasks)).len();
        table.add(&[
            &tasks,
            &unsettled,
            &settling,
            &response_body(&full_report(tasks)).len(),
        ]);
    }
    table
}

/// A document with 64 cells, and with as many services as customers.
fn document_text(customers: usize) -> String {
    let mut text = format!("[cells]\ncount = 64\n{}", zone_sections());
    for index in 0..customers {
        // Writing to a `String` cannot fail.
        let _written = write!(
            text,
            "[service sizing-{index}]\nslots = 8\nconnections = 64\nidempotent = true\n\
             [customer team-{index}]\ncpu_milli = 4000000\nmemory_mb = 16000000\n"
        );
    }
    text
}

/// The stored document after a change of `current` to `text`.
fn successor(current: Option<&StoredDocument>, text: &str) -> StoredDocument {
    let change = DocumentChange {
        based_on: ConfigRevision::new(1),
        text: text.to_owned(),
        author: AuthorName::try_from("operator-1").expect("the author name is valid"),
        dry_run: false,
    };
    StoredDocument::successor(current, &change, CHANGED_UNIX_MS)
}
