//! What may go wrong.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use sapphirestile_test_support::ProxyMode;

/// What may go wrong next. A place that is out of range counts from the front again.
#[derive(Clone, Copy, Debug)]
pub enum SoakFault {
    /// A daemon is killed.
    Kill(usize),
    /// A daemon is asked to stop.
    Stop(usize),
    /// A daemon stands still.
    Freeze(usize),
    /// A daemon is told that its settings changed.
    Reload(usize),
    /// Daemons that ended start again, and those that stand still go on.
    Revive,
    /// A daemon's link to the store.
    StoreLink(usize, ProxyMode),
    /// The link of all daemons to a worker.
    WorkerLink(usize, ProxyMode),
    /// The store refuses every call.
    StoreAway,
    /// The store carries commits out without an answer.
    StoreLosesAnswers(u32),
    /// The store and all links are as they should be.
    Mend,
}

impl SoakFault {
    pub fn draw(random: &mut StdRng) -> Self {
        let place = random.random_range(0..12);
        match random.random_range(0..14) {
            0 | 1 => Self::Kill(place),
            2 => Self::Stop(place),
            3 | 4 => Self::Freeze(place),
            5 => Self::Reload(place),
            6 | 7 => Self::Revive,
            8 | 9 => Self::StoreLink(place, draw_mode(random)),
            10 => Self::WorkerLink(place, draw_mode(random)),
            11 => Self::StoreAway,
            12 => Self::StoreLosesAnswers(random.random_range(1..6)),
            _ => Self::Mend,
        }
    }
}

fn draw_mode(random: &mut StdRng) -> ProxyMode {
    match random.random_range(0..4) {
        0 => ProxyMode::Disconnected,
        1 => ProxyMode::ResponsesHeld,
        2 => ProxyMode::Stalled,
        _ => ProxyMode::Delayed(Duration::from_millis(random.random_range(20..200))),
    }
}
