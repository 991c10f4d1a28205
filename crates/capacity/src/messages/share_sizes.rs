//! Shares of quotas in journals and between daemons.

use sapphirestile_cells::CellState;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::ShareAnswer;
use sapphirestile_cells::ShareCounter;
use sapphirestile_cells::ShareReport;
use sapphirestile_cells::ShareRequest;
use sapphirestile_cells::ShareTotals;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerRequest;

use crate::ResultTable;
use crate::SizeScale;

/// Shares that were lent so far, in each pair of cells.
const LOANS: u32 = 100_000;
const SHARE: ResourceSize = ResourceSize {
    cpu_milli: 16_000,
    memory_mb: 64_000,
    accelerators: 2,
};

pub fn snapshots(scale: SizeScale) -> ResultTable {
    let mut table = ResultTable::new(
        "Shares of quotas in a snapshot, by customers and cells",
        &[
            "customers lent",
            "cells",
            "bytes lent",
            "customers borrowed",
            "bytes borrowed",
        ],
    );
    let sizes: [(usize, u16, usize); 4] = [(1, 2, 5), (1, 8, 46), (1, 64, 46), (3, 64, 46)];
    for &(lent, cells, borrowed) in scale.pick(&sizes) {
        let lender = growth(&lent_state(lent, cells));
        let borrower = growth(&borrowed_state(borrowed));
        table.add(&[&lent, &cells, &lender, &borrowed, &borrower]);
    }
    table
}

pub fn messages(scale: SizeScale) -> ResultTable {
    let mut table = ResultTable::new(
        "One change, a report and its answer, by customers",
        &["customers", "changes", "report", "answer"],
    );
    for &customers in scale.pick(&[1, 5, 46]) {
        let names = || (0..customers).map(customer);
        let changes: Vec<CellTransition> = names().map(borrowed).collect();
        let report = ShareReport {
            borrower: CellNumber::new(63),
            requests: names().map(ask).collect(),
        };
        let request = PeerRequest::ReportShares(CellNumber::new(62), report);
        let answer = PeerAnswer::Shares(names().map(answer).collect());
        let changes = encoded(&changes);
        table.add(&[&customers, &changes, &encoded(&request), &encoded(&answer)]);
    }
    table
}

fn lent_state(customers: usize, cells: u16) -> CellState {
    let mut state = CellState::default();
    for customer in (0..customers).map(customer) {
        for borrower in (1..cells).map(CellNumber::new) {
            let (customer, total) = (customer.clone(), counter());
            let lent = CellTransition::ShareLent {
                customer: customer.clone(),
                borrower,
                total,
            };
            let regained = CellTransition::ShareRegained {
                customer,
                borrower,
                total,
            };
            apply(&mut state, &lent);
            apply(&mut state, &regained);
        }
    }
    state
}

fn borrowed_state(customers: usize) -> CellState {
    let mut state = CellState::default();
    for customer in (0..customers).map(customer) {
        let total = counter();
        apply(&mut state, &borrowed(customer.clone()));
        apply(
            &mut state,
            &CellTransition::ShareReturned { customer, total },
        );
    }
    state
}

fn apply(state: &mut CellState, change: &CellTransition) {
    state.apply(change).expect("a larger total fits");
}

fn borrowed(customer: CustomerName) -> CellTransition {
    let total = counter();
    CellTransition::ShareBorrowed { customer, total }
}

fn ask(customer: CustomerName) -> ShareRequest {
    let totals = ShareTotals {
        lent: counter(),
        returned: counter(),
    };
    ShareRequest {
        customer,
        totals,
        wanted: SHARE,
        unit: SHARE,
    }
}

fn answer(customer: CustomerName) -> ShareAnswer {
    ShareAnswer {
        customer,
        lent: counter(),
        cap: Some(SHARE),
        unmet: false,
    }
}

fn counter() -> ShareCounter {
    ShareCounter::default().plus(&SHARE.times(LOANS))
}

fn customer(place: usize) -> CustomerName {
    let name = format!("customer-{place:05}");
    CustomerName::try_from(name.as_str()).expect("a valid name")
}

fn growth(state: &CellState) -> usize {
    encoded(state) - encoded(&CellState::default())
}

fn encoded(value: &impl serde::Serialize) -> usize {
    let bytes = postcard::to_stdvec(value);
    bytes.expect("the value is encodable").len()
}
