//! Measures how long urgent work waits for its start, through real daemons.
//!
//! Stand-ins of workers run inside this process, daemons as processes of their
//! own. An [`UrgentScene`](urgent_scene::UrgentScene) submits urgent jobs one
//! after the other and reads at the workers when they began: on empty workers,
//! on workers that a backlog fills, and with the owner of the cell killed before
//! some of them. [`StartWaits`](start_waits::StartWaits) sums the waits up.
//! Build the daemon first:
//!
//! ```text
//! cargo build --release -p sapphirestile-daemon
//! cargo run --release -p sapphirestile-daemon --example urgent_starts
//! ```

mod start_waits;
mod urgent_scene;

use crate::start_waits::StartWaits;
use crate::urgent_scene::UrgentScene;

const ROUNDS: usize = 3;
const JOBS: usize = 30;

fn main() {
    for round in 1..=ROUNDS {
        let mut scene = UrgentScene::start(round);
        println!("round {round}, empty workers: {}", measure(&scene, "empty"));
        scene.fill();
        println!("round {round}, full workers: {}", measure(&scene, "full"));
        scene.kill_owner();
        println!(
            "round {round}, full workers after the owner was killed: {}",
            measure(&scene, "killed")
        );
    }
}

fn measure(scene: &UrgentScene, prefix: &str) -> StartWaits {
    (0..JOBS)
        .map(|number| scene.start_urgent(&format!("{prefix}-{number}")))
        .collect()
}
