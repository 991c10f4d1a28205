//! Sizes of quota shares in snapshots and in messages between daemons.

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
use crate::SizeSelection;

/// Shares lent so far in each pair of cells. The counters grow with it, and numbers are
/// encoded in variable length.
const LOANS: u32 = 100_000;
const SHARE: ResourceSize = ResourceSize {
    cpu_milli: 16_000,
    memory_mb: 64_000,
    accelerators: 2,
};

/// Measures how much lent and borrowed shares add to the snapshot of a cell.
pub fn snapshots(selection: SizeSelection) -> ResultTable {
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
    for &(lent, cells, borrowed) in selection.select(&sizes) {
        let lender = added_bytes(&lender_state(lent, cells));
        let borrower = added_bytes(&borrower_state(borrowed));
        table.add(&[&lent, &cells, &lender, &borrowed, &borrower]);
    }
    table
}

/// Measures a journal change, a share report and its response by customers.
pub fn messages(selection: SizeSelection) -> ResultTable {
    let mut table = ResultTable::new(
        "One change, a report and its answer, by customers",
        &["customers", "changes", "report", "answer"],
    );
    for &customers in selection.select(&[1, 5, 46]) {
        let names = || (0..customers).map(customer_name);
        let changes: Vec<CellTransition> = names().map(share_borrowed).collect();
        let report = ShareReport {
            borrower: CellNumber::new(63),
            requests: names().map(share_request).collect(),
        };
        let request = PeerRequest::ReportShares(CellNumber::new(62), report);
        let answer = PeerAnswer::Shares(names().map(share_answer).collect());
        let changes = encoded_len(&changes);
        table.add(&[
            &customers,
            &changes,
            &encoded_len(&request),
            &encoded_len(&answer),
        ]);
    }
    table
}

/// The state of a cell that lent shares to `cells - 1` others and regained them all.
fn lender_state(customers: usize, cells: u16) -> CellState {
    let mut state = CellState::default();
    for customer in (0..customers).map(customer_name) {
        for borrower in (1..cells).map(CellNumber::new) {
            let (customer, total) = (customer.clone(), lifetime_counter());
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

/// The state of a cell that borrowed shares and returned them all.
fn borrower_state(customers: usize) -> CellState {
    let mut state = CellState::default();
    for customer in (0..customers).map(customer_name) {
        let total = lifetime_counter();
        apply(&mut state, &share_borrowed(customer.clone()));
        apply(
            &mut state,
            &CellTransition::ShareReturned { customer, total },
        );
    }
    state
}

fn apply(state: &mut CellState, change: &CellTransition) {
    state
        .apply(change)
        .expect("a transition with a larger total is valid");
}

fn share_borrowed(customer: CustomerName) -> CellTransition {
    let total = lifetime_counter();
    CellTransition::ShareBorrowed { customer, total }
}

fn share_request(customer: CustomerName) -> ShareRequest {
    let totals = ShareTotals {
        lent: lifetime_counter(),
        returned: lifetime_counter(),
    };
    ShareRequest {
        customer,
        totals,
        wanted: SHARE,
        unit: SHARE,
    }
}

fn share_answer(customer: CustomerName) -> ShareAnswer {
    ShareAnswer {
        customer,
        lent: lifetime_counter(),
        cap: Some(SHARE),
        unmet: false,
    }
}

/// The total of `LOANS` shares.
fn lifetime_counter() -> ShareCounter {
    ShareCounter::default().plus(&SHARE.times(LOANS))
}

fn customer_name(index: usize) -> CustomerName {
    let name = format!("customer-{index:05}");
    CustomerName::try_from(name.as_str()).expect("the customer name is valid")
}

/// Returns how many bytes `state` takes more than an empty state.
fn added_bytes(state: &CellState) -> usize {
    encoded_len(state) - encoded_len(&CellState::default())
}

fn encoded_len(value: &impl serde::Serialize) -> usize {
    let bytes = postcard::to_stdvec(value);
    bytes.expect("the value can be encoded").len()
}
