//! Series of crashes of daemons and workers.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::crash_step::CrashStep;
use crate::soak_fault::SoakFault;
use crate::soak_scenario::DAEMONS;
use crate::timed_step::TimedStep;
use crate::worker_return::WorkerReturn;

/// How long the entry of a worker without power stays: three heartbeats, in milliseconds.
const ENTRY_EXPIRY_MS: u64 = 4_500;

/// The number of ranks from which a worker is drawn: most long-running tasks run at few
/// workers.
const RANKS: usize = 2;

/// The maximum time from a loss of power to the next life, in milliseconds.
const RETURN_MAX_MS: u64 = 7_000;

/// The maximum time between the starts of two crashes, in milliseconds.
const CRASH_INTERVAL_MAX_MS: u64 = 5_000;

/// The maximum time between the kill of the owner and the loss of a worker, in milliseconds.
const TOGETHER_MAX_MS: u64 = 300;

/// The maximum duration of a disruption, in milliseconds.
const DISRUPTION_MAX_MS: u64 = 6_000;

/// How long killed daemons stay down when one survives, in milliseconds.
const DOWN_MAX_MS: u64 = 4_000;

/// Crashes that overlap, as steps in the order of their times.
#[derive(Debug, Default)]
pub struct CrashSeries {
    steps: Vec<TimedStep>,
    /// The number of losses of power.
    losses: usize,
}

impl CrashSeries {
    /// Draws `crashes` crashes: of a worker, of owners, or of both together, some of them
    /// beside a disruption.
    pub fn draw(seed: u64, crashes: u32) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut series = Self::default();
        let mut now_ms = 0;
        for _ in 0..crashes {
            let first_ms = now_ms + random.random_range(0..TOGETHER_MAX_MS);
            series.draw_worker_fault(&mut random, first_ms);
            if random.random_bool(0.3) {
                let end_ms = first_ms + random.random_range(300..DISRUPTION_MAX_MS);
                let fault = SoakFault::draw_disruption(&mut random);
                series.disrupt(first_ms, end_ms, CrashStep::Disrupt(fault));
            }
            let survivor = random.random_range(0..DAEMONS);
            match random.random_range(0..3) {
                0 => {}
                1 => {
                    let down_ms = random.random_range(1_000..DOWN_MAX_MS);
                    series.kill_all_but(survivor, now_ms, down_ms);
                }
                _ => {
                    let kills = random.random_range(2..=6);
                    let interval_ms = random.random_range(1_000..4_000);
                    series.kill_in_turn(survivor, kills, now_ms, interval_ms);
                }
            }
            now_ms += random.random_range(0..CRASH_INTERVAL_MAX_MS);
        }
        series
    }

    /// Draws a loss of power, a cut link, or nothing.
    fn draw_worker_fault(&mut self, random: &mut StdRng, at_ms: u64) {
        match random.random_range(0..10) {
            0..6 => self.draw_power_loss(random, at_ms),
            6..9 => {
                let end_ms = at_ms + random.random_range(300..DISRUPTION_MAX_MS);
                self.disrupt(at_ms, end_ms, CrashStep::CutLink { rank: 0 });
            }
            _ => {}
        }
    }

    fn draw_power_loss(&mut self, random: &mut StdRng, lost_ms: u64) {
        let rank = random.random_range(0..RANKS);
        let return_ms = lost_ms + random.random_range(200..RETURN_MAX_MS);
        let how = match random.random_range(0..3) {
            0 => WorkerReturn::SameName,
            1 => WorkerReturn::OtherName,
            _ => WorkerReturn::Never,
        };
        self.lose_power(rank, lost_ms, return_ms, how);
    }

    /// Plays a step that disrupts, and ends all disruptions at `end_ms`.
    pub fn disrupt(&mut self, at_ms: u64, end_ms: u64, disruption: CrashStep) {
        self.push(at_ms, disruption);
        self.push(end_ms, CrashStep::EndDisruptions);
    }

    /// Takes the power of the worker of a rank, and starts its next life at `return_ms`.
    pub fn lose_power(&mut self, rank: usize, lost_ms: u64, return_ms: u64, how: WorkerReturn) {
        let loss = self.losses;
        self.losses += 1;
        self.push(lost_ms, CrashStep::LosePower { loss, rank });
        self.push(lost_ms + ENTRY_EXPIRY_MS, CrashStep::RemoveEntry { loss });
        self.push(return_ms, CrashStep::RestorePower { loss, how });
    }

    /// Kills all daemons but one, which owns every cell soon after, and restarts them.
    pub fn kill_all_but(&mut self, survivor: usize, at_ms: u64, down_ms: u64) {
        for daemon in (0..DAEMONS).filter(|daemon| *daemon != survivor) {
            self.push(at_ms, CrashStep::KillDaemon(daemon));
            self.push(at_ms + down_ms, CrashStep::StartDaemon(daemon));
        }
    }

    /// Kills all daemons but one, and then `kills` times the only one that runs, as the next
    /// one starts.
    pub fn kill_in_turn(&mut self, survivor: usize, kills: usize, at_ms: u64, interval_ms: u64) {
        for daemon in (0..DAEMONS).filter(|daemon| *daemon != survivor) {
            self.push(at_ms, CrashStep::KillDaemon(daemon));
        }
        let mut time_ms = at_ms;
        for turn in survivor..survivor + kills {
            time_ms += interval_ms;
            self.push(time_ms, CrashStep::StartDaemon((turn + 1) % DAEMONS));
            self.push(time_ms, CrashStep::KillDaemon(turn % DAEMONS));
        }
        for daemon in 0..DAEMONS {
            self.push(time_ms + interval_ms, CrashStep::StartDaemon(daemon));
        }
    }

    /// Adds a step after those of the same time.
    fn push(&mut self, at_ms: u64, step: CrashStep) {
        let index = self.steps.partition_point(|other| other.at_ms <= at_ms);
        self.steps.insert(index, TimedStep { at_ms, step });
    }

    /// The steps in the order of their times.
    pub fn steps(&self) -> &[TimedStep] {
        &self.steps
    }
}
