//! Messages between daemons.

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
use crate::SizeScale;
use crate::scenes::TokenScene;
use crate::scenes::identity;
use crate::scenes::worker_name;

const PORT: u16 = 7_000;
const REVISION: u64 = 2_000_000;
const EPOCH: u64 = 1_000_000;

pub fn heartbeats(scale: SizeScale) -> ResultTable {
    let mut table = ResultTable::new(
        "Heartbeat, sealed, by the cells that the daemon owns",
        &["cells", "bytes"],
    );
    for &cells in scale.pick(&[1, 8, 16, 64, 256]) {
        table.add(&[&cells, &sealed_bytes(heartbeat(cells))]);
    }
    table
}

pub fn token_reports(scale: SizeScale) -> ResultTable {
    let mut table = ResultTable::new(
        "Token report, and one page of counters when every one has moved, sealed",
        &["runners", "report", "page", "datagrams", "largest"],
    );
    for &runners in scale.pick(&[48, 500, 2_000, 4_625, 37_000]) {
        let scene = TokenScene::build(runners);
        let report = sealed_bytes(PeerDatagram::Tokens(scene.report()));
        let parts = HandoverParts::new(scene.page(runners));
        let parts = parts.map(|part| sealed_bytes(handover(part)));
        let parts: Vec<usize> = parts.collect();
        let largest = parts.iter().max().copied().unwrap_or_default();
        let bytes: usize = parts.iter().sum();
        table.add(&[&runners, &report, &bytes, &parts.len(), &largest]);
    }
    table
}

pub fn slowdown_reports(scale: SizeScale) -> ResultTable {
    let mut table = ResultTable::new(
        "Slowdowns told to the owner of a cell, sealed",
        &["workers", "bytes"],
    );
    for &workers in scale.pick(&[1, 4, SlowdownReport::ROWS_MAX]) {
        let rows = (0..workers).map(|place| WorkerSlowdown {
            worker: worker_name(place),
            slowdown_permille: 400,
            requests: 400,
            age_ms: 5_000,
        });
        let report = SlowdownReport {
            cell: CellNumber::new(0),
            rows: rows.collect(),
        };
        table.add(&[&workers, &sealed_bytes(PeerDatagram::Slowdowns(report))]);
    }
    table
}

pub fn token_ledgers(scale: SizeScale) -> ResultTable {
    let mut table = ResultTable::new(
        "Ledger of tokens in the store, seven members",
        &["runners", "bytes"],
    );
    for &runners in scale.pick(&[48, 500, 2_000, 4_625, 37_000]) {
        let ledger = TokenScene::build(runners).ledger;
        let bytes = postcard::to_stdvec(&ledger).expect("a ledger is encodable");
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

fn sealed_bytes(body: PeerDatagram) -> usize {
    let sender = identity(0);
    let frame = PeerFrame {
        sender: sender.daemon,
        incarnation: sender.incarnation,
        call: REVISION,
        body,
    };
    let key = FrameKey::new(b"a secret of sixteen bytes");
    let sealed = key.seal(&frame).expect("the frame is short enough");
    sealed.len()
}
