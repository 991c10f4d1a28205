//! Processor time of building routing tables and choosing runners.

use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_routing::RouteQuery;
use sapphirestile_routing::RoutingTable;

use crate::ResultTable;
use crate::fixtures::RoutingFixture;
use crate::report::TimingSummary;
use crate::report::nanos_per_unit;

/// Route choices within one measurement.
const CHOICES: u64 = 100_000;
const DEADLINE_MS: u64 = 1_000;
/// Odd multiplier that spreads consecutive numbers over 64 bits.
const RANDOM_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Measures routing tables by the number of runners.
pub fn route_times(rounds: usize) -> ResultTable {
    let mut table = ResultTable::new(
        "Routing table, us: median (least to most)",
        &[
            "runners",
            "make rows",
            "build",
            "retain gauges",
            "1,000 choices",
        ],
    );
    for runners in [48, 500, 2_000, 4_625] {
        let mut fixture = RoutingFixture::build(runners);
        let make_rows = TimingSummary::measure(rounds, || nanos_per_unit(1, || fixture.rows()));
        let build = TimingSummary::measure(rounds, || {
            let rows = fixture.rows();
            nanos_per_unit(1, || RoutingTable::new(&fixture.document, "near-a", rows))
        });
        let retain = TimingSummary::measure(rounds, || time_gauge_retention(&mut fixture));
        let routes = fixture.table();
        let choose = TimingSummary::measure(rounds, || time_thousand_choices(&routes));
        table.add(&[&runners, &make_rows, &build, &retain, &choose]);
    }
    table
}

/// Returns the nanoseconds of dropping the gauges of unlisted runners, as the publisher of
/// routing tables does each second.
fn time_gauge_retention(fixture: &mut RoutingFixture) -> u128 {
    let rows = fixture.rows();
    nanos_per_unit(1, || {
        let mut names: Vec<&RunnerName> = rows.iter().map(|row| &row.runner).collect();
        names.sort();
        let kept = |runner: &RunnerName| names.binary_search(&runner).is_ok();
        fixture.registry.retain(kept);
    })
}

/// Returns the nanoseconds of 1,000 route choices.
fn time_thousand_choices(routes: &RoutingTable) -> u128 {
    let total_ns = nanos_per_unit(1, || {
        let chosen = (0..CHOICES).filter(|choice| routes.choose(&query(*choice)).is_ok());
        chosen.count()
    });
    total_ns * 1_000 / u128::from(CHOICES)
}

const fn query(choice: u64) -> RouteQuery<'static> {
    RouteQuery {
        service: "sizing",
        avoid: None,
        now: MonoTime::from_millis(0),
        deadline: MonoTime::from_millis(DEADLINE_MS),
        random: choice.wrapping_mul(RANDOM_STEP),
    }
}
