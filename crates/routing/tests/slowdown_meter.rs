//! Scenes of requests that are slowed by what shares their machine.

use std::sync::Arc;

use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_routing::RunnerGauge;
use sapphirestile_routing::RunnerRow;
use sapphirestile_routing::RunnerSlowdown;
use sapphirestile_routing::SlowdownMeter;

/// The runners of a service in one zone, and a meter that looks each 5 s.
struct MeterBench {
    rows: Vec<RunnerRow>,
    meter: SlowdownMeter,
    now: MonoTime,
}

impl MeterBench {
    fn new(runners: usize) -> Self {
        let row = |place| RunnerRow {
            runner: RunnerName::try_from(format!("runner-{place}").as_str()).unwrap(),
            zone: ZoneName::try_from("a").unwrap(),
            address: "127.0.0.1:8080".parse().unwrap(),
            service: ServiceName::try_from("sizing").unwrap(),
            leaving: false,
            gauge: Arc::new(RunnerGauge::new()),
        };
        let mut bench = Self {
            rows: (0..runners).map(row).collect(),
            meter: SlowdownMeter::default(),
            now: MonoTime::from_millis(1_000),
        };
        assert_eq!(bench.look(), []);
        bench
    }

    fn look(&mut self) -> Vec<RunnerSlowdown> {
        let rows: Vec<&RunnerRow> = self.rows.iter().collect();
        self.meter.measure(&rows, self.now)
    }

    /// Answers of each runner in the next 5 s, and what is measured then.
    fn pass(&mut self, requests: usize, latencies_us: &[u64]) -> Vec<u64> {
        for (row, latency_us) in self.rows.iter().zip(latencies_us) {
            for _ in 0..requests {
                row.gauge.record_answer(*latency_us);
            }
        }
        self.now = self.now.plus_millis(5_000);
        let slowdowns = self.look();
        slowdowns.iter().map(|row| row.slowdown_permille).collect()
    }
}

#[test]
fn a_lone_runner_is_compared_with_its_own_calm_hours() {
    let mut bench = MeterBench::new(1);
    assert_eq!(bench.pass(50, &[20_000]), [0]);
    assert_eq!(bench.pass(50, &[30_000]), [497]);
    assert_eq!(bench.pass(50, &[20_000]), [0]);
}

#[test]
fn a_runner_that_is_disturbed_from_the_start_is_compared_with_its_peers() {
    let mut bench = MeterBench::new(4);
    let latencies = [20_000, 21_000, 40_000, 20_000];
    assert_eq!(bench.pass(50, &latencies), [0, 0, 992, 0]);
}

#[test]
fn a_shift_of_the_load_slows_no_runner() {
    let mut bench = MeterBench::new(4);
    bench.pass(50, &[20_000; 4]);
    assert_eq!(bench.pass(50, &[35_000; 4]), [0; 4]);
    let one_slower = [35_000, 35_000, 70_000, 35_000];
    assert_eq!(bench.pass(50, &one_slower), [0, 0, 1_000, 0]);
}

#[test]
fn a_runner_that_is_slower_for_good_is_not_slowed_for_good() {
    let mut bench = MeterBench::new(4);
    let latencies = [20_000, 20_000, 30_000, 20_000];
    let mut slowdown = bench.pass(50, &latencies)[2];
    assert!(slowdown > 400, "{slowdown}");
    for _ in 0..500 {
        slowdown = bench.pass(50, &latencies)[2];
    }
    assert!(slowdown < 100, "{slowdown}");
}

#[test]
fn too_few_requests_are_kept_for_later_and_dropped_after_a_minute() {
    let mut bench = MeterBench::new(1);
    bench.pass(50, &[20_000]);
    assert_eq!(bench.pass(3, &[40_000]), []);
    let slowdowns = bench.pass(2, &[40_000]);
    assert_eq!(slowdowns.len(), 1, "five requests together are measured");
    assert!(slowdowns[0] > 900, "{slowdowns:?}");
    for _ in 0..13 {
        assert_eq!(bench.pass(0, &[40_000]), []);
    }
    bench.pass(4, &[40_000]);
    bench.now = bench.now.plus_millis(60_000);
    assert_eq!(bench.look(), []);
    assert_eq!(
        bench.pass(4, &[20_000]),
        [],
        "the four of before are dropped"
    );
}

#[test]
fn the_measurement_says_since_when_it_holds() {
    let mut bench = MeterBench::new(1);
    let begun = bench.now;
    bench.rows[0].gauge.record_answer(20_000);
    bench.now = begun.plus_millis(5_000);
    assert_eq!(bench.look(), []);
    for _ in 0..9 {
        bench.rows[0].gauge.record_answer(20_000);
    }
    bench.now = begun.plus_millis(10_000);
    let slowdowns = bench.look();
    assert_eq!((slowdowns[0].since, slowdowns[0].requests), (begun, 10));
}
