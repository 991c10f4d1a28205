//! Short ways to drive what an owner lends and borrows.

use crate::owner_bench::OwnerBench;
use sapphirestile_cells::CellMap;
use sapphirestile_cells::ShareAnswer;
use sapphirestile_cells::ShareAsk;
use sapphirestile_cells::ShareCounter;
use sapphirestile_cells::ShareOrder;
use sapphirestile_cells::ShareReport;
use sapphirestile_cells::ShareTotals;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;

/// The cell of the bench.
pub const HERE: CellNumber = CellNumber::new(0);
pub const THERE: CellNumber = CellNumber::new(1);

/// What `tasks` tasks of the bench are given.
pub fn room_of(tasks: u32) -> ResourceSize {
    let task = ResourceSize {
        cpu_milli: 1_000,
        memory_mb: 1_500,
        accelerators: 0,
    };
    task.times(tasks)
}

pub fn customer() -> CustomerName {
    CustomerName::try_from("tailors").unwrap()
}

/// Cells of which the bench's own lends the quota, or does not.
pub fn cells(lends: bool) -> CellMap {
    let mut maps = (2..20).map(CellMap::new);
    let fits = |map: &CellMap| (map.lender_of("tailors") == HERE) == lends;
    maps.find(fits).unwrap()
}

pub fn set_quota(bench: &mut OwnerBench, tasks: u32) {
    let entry = CustomerEntry {
        quota: room_of(tasks),
        priority: 100,
    };
    let customers = [(customer(), entry)].into_iter().collect();
    bench.owner.set_customers(&customers);
}

pub fn bench(lends: bool, quota: u32) -> OwnerBench {
    let mut bench = OwnerBench::new();
    bench.owner.set_cells(cells(lends));
    set_quota(&mut bench, quota);
    bench.renew(&[]);
    bench
}

pub fn ask(totals: ShareTotals, wanted: u32) -> ShareReport {
    let ask = ShareAsk {
        customer: customer(),
        totals,
        wanted: room_of(wanted),
        unit: room_of(wanted.min(1)),
    };
    ShareReport {
        borrower: THERE,
        asks: vec![ask],
    }
}

pub fn lend(bench: &mut OwnerBench, totals: ShareTotals, wanted: u32) -> ShareAnswer {
    let report = ask(totals, wanted);
    let mut answers = bench.owner.lend_shares(&report, bench.now);
    answers.remove(0)
}

/// The answer to a cell that has a use for the whole quota only.
pub fn whole(bench: &mut OwnerBench, borrower: CellNumber) -> ShareAnswer {
    let mut report = ask(ShareTotals::default(), 6);
    report.borrower = borrower;
    report.asks[0].unit = room_of(6);
    let mut answers = bench.owner.lend_shares(&report, bench.now);
    answers.remove(0)
}

pub fn counter(tasks: u32) -> ShareCounter {
    ShareCounter::default().plus(&room_of(tasks))
}

pub fn totals(lent: u32, returned: u32) -> ShareTotals {
    ShareTotals {
        lent: counter(lent),
        returned: counter(returned),
    }
}

pub fn take(bench: &mut OwnerBench, lent: u32, cap: Option<u32>) {
    take_answer(bench, lent, cap, false);
}

/// An answer that has no more than `lent`, although more is wanted.
pub fn take_unmet(bench: &mut OwnerBench, lent: u32) {
    take_answer(bench, lent, None, true);
}

fn take_answer(bench: &mut OwnerBench, lent: u32, cap: Option<u32>, unmet: bool) {
    let lender = cells(false).lender_of("tailors");
    let answer = ShareAnswer {
        customer: customer(),
        lent: counter(lent),
        cap: cap.map(room_of),
        unmet,
    };
    bench.owner.take_shares(lender, &[answer], bench.now);
}

/// The only ask that is due, answered with what was lent so far.
pub fn told(bench: &mut OwnerBench) -> Option<ShareAsk> {
    let mut orders: Vec<ShareOrder> = bench.owner.due_shares(bench.now);
    let order = orders.pop()?;
    bench.owner.take_shares(order.lender, &[], bench.now);
    order.report.asks.into_iter().next()
}
