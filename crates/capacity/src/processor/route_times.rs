//! Routing tables.

use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_routing::RouteQuery;
use sapphirestile_routing::RoutingTable;

use crate::ResultTable;
use crate::report::TimeSample;
use crate::report::nanos_of;
use crate::scenes::RouteScene;

const CHOICES: u64 = 100_000;
const DEADLINE_MS: u64 = 1_000;
const RANDOM_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

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
        let mut scene = RouteScene::build(runners);
        let rows = TimeSample::gather(rounds, || nanos_of(1, || scene.rows()));
        let build = TimeSample::gather(rounds, || {
            let rows = scene.rows();
            nanos_of(1, || RoutingTable::new(&scene.document, "near-a", rows))
        });
        let retain = TimeSample::gather(rounds, || retain_gauges(&mut scene));
        let routes = scene.table();
        let choose = TimeSample::gather(rounds, || thousand_choices(&routes));
        table.add(&[&runners, &rows, &build, &retain, &choose]);
    }
    table
}

/// As the publisher of routing tables does each second.
fn retain_gauges(scene: &mut RouteScene) -> u128 {
    let rows = scene.rows();
    nanos_of(1, || {
        let mut names: Vec<&RunnerName> = rows.iter().map(|row| &row.runner).collect();
        names.sort();
        let kept = |runner: &RunnerName| names.binary_search(&runner).is_ok();
        scene.registry.retain(kept);
    })
}

fn thousand_choices(routes: &RoutingTable) -> u128 {
    let all = nanos_of(1, || {
        let chosen = (0..CHOICES).filter(|draw| routes.choose(&query(*draw)).is_ok());
        chosen.count()
    });
    all * 1_000 / u128::from(CHOICES)
}

const fn query(draw: u64) -> RouteQuery<'static> {
    RouteQuery {
        service: "sizing",
        avoid: None,
        now: MonoTime::from_millis(0),
        deadline: MonoTime::from_millis(DEADLINE_MS),
        random: draw.wrapping_mul(RANDOM_STEP),
    }
}
