//! Bodies in JSON: the document's row, the list of VMs, sessions.

use std::fmt::Write as _;

use sapphirestile_core::ConfigRevision;
use sapphirestile_core::MonoTime;
use sapphirestile_standins::vms::VmListVersion;
use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::DocumentChange;
use sapphirestile_wire::api::RECENT_CHANGES_MAX;
use sapphirestile_wire::api::StoredDocument;

use crate::ResultTable;
use crate::SizeScale;
use crate::scenes::VmScene;
use crate::scenes::zone_text;
use crate::sessions::first_request;
use crate::sessions::report_body;
use crate::sessions::request_body;
use crate::sessions::whole_report;

const CHANGED_UNIX_MS: u64 = 1_790_000_000_000;

pub fn documents(scale: SizeScale) -> ResultTable {
    let mut table = ResultTable::new(
        "Row of the operators' document, with twenty recent changes",
        &["customers", "services", "text", "row"],
    );
    for &customers in scale.pick(&[5, 46, 460]) {
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

pub fn vm_lists(scale: SizeScale) -> ResultTable {
    let mut table = ResultTable::new("List of VMs", &["VMs", "bytes", "compressed"]);
    for &count in scale.pick(&[500, 2_000, 8_700, 13_325]) {
        let version = VmListVersion::new(MonoTime::from_millis(0), VmScene::sorted(count));
        table.add(&[&count, &version.body.len(), &version.gzip_body.len()]);
    }
    table
}

pub fn session_bodies(scale: SizeScale) -> ResultTable {
    let mut table = ResultTable::new(
        "Bodies of a session by the tasks of the worker",
        &["tasks", "request", "request with as many settled", "report"],
    );
    for &tasks in scale.pick(&[1, 8, 22, 32]) {
        let plain = request_body(&first_request(0)).len();
        let settling = request_body(&first_request(tasks)).len();
        table.add(&[
            &tasks,
            &plain,
            &settling,
            &report_body(&whole_report(tasks)).len(),
        ]);
    }
    table
}

fn document_text(customers: usize) -> String {
    let mut text = format!("[cells]\ncount = 64\n{}", zone_text());
    for place in 0..customers {
        // Writing into a text cannot fail.
        let _written = write!(
            text,
            "[service sizing-{place}]\nslots = 8\nconnections = 64\nidempotent = true\n\
             [customer team-{place}]\ncpu_milli = 4000000\nmemory_mb = 16000000\n"
        );
    }
    text
}

fn successor(current: Option<&StoredDocument>, text: &str) -> StoredDocument {
    let change = DocumentChange {
        based_on: ConfigRevision::new(1),
        text: text.to_owned(),
        author: AuthorName::try_from("operator-1").expect("a valid author"),
        dry_run: false,
    };
    StoredDocument::successor(current, &change, CHANGED_UNIX_MS)
}
