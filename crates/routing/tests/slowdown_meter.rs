//! Tests of the slowdown that other work on the machine causes.

use std::sync::Arc;

use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_routing::RunnerGauge;
use sapphirestile_routing::RunnerRow;
use sapphirestile_routing::RunnerSlowdown;
use sapphirestile_routing::SlowdownMeter;

/// The runners of a service in one zone, and a meter that measures them every 5 s.
struct MeterHarness {
    rows: Vec<RunnerRow>,
    meter: SlowdownMeter,
    now: MonoTime,
}

impl MeterHarness {
    fn new(runners: usize) -> Self {
        let row = |index| RunnerRow {
            runner: RunnerName::try_from(format!("runner-{index}").as_str()).unwrap(),
            zone: ZoneName::try_from("a").unwrap(),
            address: "127.0.0.1:8080".parse().unwrap(),
            service: ServiceName::try_from("sizing").unwrap(),
            leaving: false,
            gauge: Arc::new(RunnerGauge::new()),
        };
        let mut harness = Self {
            rows: (0..runners).map(row).collect(),
            meter: SlowdownMeter::default(),
            now: MonoTime::from_millis(1_000),
        };
        assert_eq!(harness.measure(), []);
        harness
    }

    fn measure(&mut self) -> Vec<RunnerSlowdown> {
        let rows: Vec<&RunnerRow> = self.rows.iter().collect();
        self.meter.measure(&rows, self.now)
    }

    /// Lets each runner answer `requests` requests in the next 5 s and returns the measured
    /// slowdowns, in thousandths.
    fn answer_and_measure(&mut self, requests: usize, latencies_us: &[u64]) -> Vec<u64> {
        for (row, latency_us) in self.rows.iter().zip(latencies_us) {
            for _ in 0..requests {
                row.gauge.record_answer(*latency_us);
            }
        }
        self.now = self.now.plus_millis(5_000);
        let slowdowns = self.measure();
        slowdowns.iter().map(|row| row.slowdown_permille).collect()
    }
}

#[test]
fn a_single_runner_is_compared_with_its_own_baseline() {
    let mut harness = MeterHarness::new(1);
    assert_eq!(harness.answer_and_measure(50, &[20_000]), [0]);
    assert_eq!(harness.answer_and_measure(50, &[30_000]), [497]);
    assert_eq!(harness.answer_and_measure(50, &[20_000]), [0]);
}

#[test]
fn a_runner_with_interference_from_the_start_is_compared_with_its_peers() {
    let mut harness = MeterHarness::new(4);
    let latencies = [20_000, 21_000, 40_000, 20_000];
    assert_eq!(harness.answer_and_measure(50, &latencies), [0, 0, 992, 0]);
}

#[test]
fn a_load_change_for_all_runners_is_no_slowdown() {
    let mut harness = MeterHarness::new(4);
    harness.answer_and_measure(50, &[20_000; 4]);
    assert_eq!(harness.answer_and_measure(50, &[35_000; 4]), [0; 4]);
    let one_slower = [35_000, 35_000, 70_000, 35_000];
    assert_eq!(
        harness.answer_and_measure(50, &one_slower),
        [0, 0, 1_000, 0]
    );
}

#[test]
fn a_permanently_slower_runner_does_not_stay_slowed_down() {
    let mut harness = MeterHarness::new(4);
    let latencies = [20_000, 20_000, 30_000, 20_000];
    let mut slowdown = harness.answer_and_measure(50, &latencies)[2];
    assert!(slowdown > 400, "{slowdown}");
    for _ in 0..500 {
        slowdown = harness.answer_and_measure(50, &latencies)[2];
    }
    assert!(slowdown < 100, "{slowdown}");
}

#[test]
fn too_few_requests_are_kept_for_later_and_dropped_after_a_minute() {
    let mut harness = MeterHarness::new(1);
    harness.answer_and_measure(50, &[20_000]);
    assert_eq!(harness.answer_and_measure(3, &[40_000]), []);
    let slowdowns = harness.answer_and_measure(2, &[40_000]);
    assert_eq!(slowdowns.len(), 1, "3 and 2 requests together are measured");
    assert!(slowdowns[0] > 900, "{slowdowns:?}");
    for _ in 0..13 {
        assert_eq!(harness.answer_and_measure(0, &[40_000]), []);
    }
    harness.answer_and_measure(4, &[40_000]);
    harness.now = harness.now.plus_millis(60_000);
    assert_eq!(harness.measure(), []);
    assert_eq!(
        harness.answer_and_measure(4, &[20_000]),
        [],
        "the 4 earlier requests were dropped"
    );
}

#[test]
fn a_measurement_has_the_start_of_its_window() {
    let mut harness = MeterHarness::new(1);
    let start = harness.now;
    harness.rows[0].gauge.record_answer(20_000);
    harness.now = start.plus_millis(5_000);
    assert_eq!(harness.measure(), []);
    for _ in 0..9 {
        harness.rows[0].gauge.record_answer(20_000);
    }
    harness.now = start.plus_millis(10_000);
    let slowdowns = harness.measure();
    assert_eq!((slowdowns[0].since, slowdowns[0].requests), (start, 10));
}
