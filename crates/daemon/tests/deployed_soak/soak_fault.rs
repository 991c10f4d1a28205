//! Faults that the test injects.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use sapphirestile_test_support::ProxyMode;

/// A fault that the test injects, or its end. Indexes of daemons and workers are taken
/// modulo their number.
#[derive(Clone, Copy, Debug)]
pub enum SoakFault {
    /// Kills a daemon.
    Kill(usize),
    /// Asks a daemon to stop as planned.
    Stop(usize),
    /// Freezes a daemon.
    Freeze(usize),
    /// Tells a daemon that its settings changed.
    Reload(usize),
    /// Restarts the daemons that ended and resumes the frozen ones.
    ResumeOrRestart,
    /// Changes a daemon's link to the store.
    StoreLink(usize, ProxyMode),
    /// Changes the link of all daemons to a worker.
    WorkerLink(usize, ProxyMode),
    /// Makes the store refuse every call.
    StoreUnavailable,
    /// Makes the store apply that many commits without answering them.
    StoreLosesAnswers(u32),
    /// Repairs the store and all links.
    Repair,
}

impl SoakFault {
    /// Draws the next fault; some are more likely than others.
    pub fn draw(random: &mut StdRng) -> Self {
        let index = random.random_range(0..12);
        match random.random_range(0..14) {
            0 | 1 => Self::Kill(index),
            2 => Self::Stop(index),
            3 | 4 => Self::Freeze(index),
            5 => Self::Reload(index),
            6 | 7 => Self::ResumeOrRestart,
            8 | 9 => Self::StoreLink(index, draw_link_mode(random)),
            10 => Self::WorkerLink(index, draw_link_mode(random)),
            11 => Self::StoreUnavailable,
            12 => Self::StoreLosesAnswers(random.random_range(1..6)),
            _ => Self::Repair,
        }
    }

    /// Draws a fault that lasts until it is repaired or the frozen daemon is resumed.
    pub fn draw_disruption(random: &mut StdRng) -> Self {
        let index = random.random_range(0..12);
        match random.random_range(0..5) {
            0 => Self::Freeze(index),
            1 => Self::StoreLink(index, draw_link_mode(random)),
            2 => Self::WorkerLink(index, draw_link_mode(random)),
            3 => Self::StoreUnavailable,
            _ => Self::StoreLosesAnswers(random.random_range(1..6)),
        }
    }
}

fn draw_link_mode(random: &mut StdRng) -> ProxyMode {
    match random.random_range(0..4) {
        0 => ProxyMode::Disconnected,
        1 => ProxyMode::ResponsesHeld,
        2 => ProxyMode::Stalled,
        _ => ProxyMode::Delayed(Duration::from_millis(random.random_range(20..200))),
    }
}
