//! Sizes of messages between daemons, and of the token ledger.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ConfigRevision;
use sapphirestile_slots::HandoverMessage;
use sapphirestile_wire::peer::FrameKey;
use sapphirestile_wire::peer::HandoverParts;
use sapphirestile_wire::peer::MemberState;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::PeerHeartbeat;
use sapphirestile_wire::peer::SlowdownReport;
use sapphirestile_wire::peer::WorkerSlowdown;

use crate::ResultTable;
use crate::SizeSelection;
use crate::fixtures::TokenFixture;
use crate::fixtures::daemon_identity;
use crate::fixtures::worker_name;

const PORT: u16 = 7_000;
/// Large numbers, because numbers are encoded in variable length.
const REVISION: u64 = 2_000_000;
const EPOCH: u64 = 1_000_000;

/// Measures a heartbeat by the cells that its daemon owns.
pub fn heartbeats(selection: SizeSelection) -> ResultTable {
    let mut table = ResultTable::new(
        "Heartbeat, sealed, by the cells that the daemon owns",
        &["cells", "bytes"],
    );
    for &cells in selection.select(&[1, 8, 16, 64, 256]) {
        table.add(&[&cells, &sealed_len(heartbeat(cells))]);
    }
    table
}

/// Measures a token report, and a page of counters after a handover at every runner.
pub fn token_reports(selection: SizeSelection) -> ResultTable {
    let mut table = ResultTable::new(
        "Token report, and one page of counters when every one has moved, sealed",
        &["runners", "report", "page", "datagrams", "largest"],
    );
    for &runners in selection.select(&[48, 500, 2_000, 4_625, 37_000]) {
        let fixture = TokenFixture::build(runners);
        let report = sealed_len(PeerDatagram::Tokens(fixture.report()));
        let parts = HandoverParts::new(fixture.page(runners));
        let parts = parts.map(|part| sealed_len(handover(part)));
        let parts: Vec<usize> = parts.collect();
        let largest = parts.iter().max().copied().unwrap_or_default();
        let bytes: usize = parts.iter().sum();
        table.add(&[&runners, &report, &bytes, &parts.len(), &largest]);
    }
    table
}

/// Measures a report of worker slowdowns to the owner of a cell.
pub fn slowdown_reports(selection: SizeSelection) -> ResultTable {
    let mut table = ResultTable::new(
        "Slowdowns told to the owner of a cell, sealed",
        &["workers", "bytes"],
    );
    for &workers in selection.select(&[1, 4, SlowdownReport::ROWS_MAX]) {
        let rows = (0..workers).map(|index| WorkerSlowdown {
            worker: worker_name(index),
            slowdown_permille: 400,
            requests: 400,
            age_ms: 5_000,
        });
        let report = SlowdownReport {
            cell: CellNumber::new(0),
            rows: rows.collect(),
        };
        table.add(&[&workers, &sealed_len(PeerDatagram::Slowdowns(report))]);
    }
    table
}

/// Measures the token ledger of seven members in the store.
pub fn token_ledgers(selection: SizeSelection) -> ResultTable {
    let mut table = ResultTable::new(
        "Ledger of tokens in the store, seven members",
        &["runners", "bytes"],
    );
    for &runners in selection.select(&[48, 500, 2_000, 4_625, 37_000]) {
        let ledger = TokenFixture::build(runners).ledger;
        let bytes = postcard::to_stdvec(&ledger).expect("a token ledger can be encoded");
        table.add(&[&runners, &bytes.len()]);
    }
    table
}

fn heartbeat(cells: u16) -> PeerDatagram {
    let owned = (0..cells).map(|cell| (CellNumber::new(cell), CellEpoch::new(EPOCH)));
    PeerDatagram::Heartbeat(PeerHeartbeat {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, PORT)),
        state: MemberState::Serving,
        revision: ConfigRevision::new(REVISION),
        store_silent_ms: 1_000,
        cells: owned.collect(),
    })
}

const fn handover(message: HandoverMessage) -> PeerDatagram {
    PeerDatagram::Handover(message)
}

/// Returns the length of a frame with `body` after sealing, in bytes.
fn sealed_len(body: PeerDatagram) -> usize {
    let sender = daemon_identity(0);
    let frame = PeerFrame {
        sender: sender.daemon,
        incarnation: sender.incarnation,
        call: REVISION,
        body,
    };
    let key = FrameKey::new(b"a secret of sixteen bytes");
    let sealed = key
        .seal(&frame)
        .expect("the frame is within the size limit");
    sealed.len()
}
