//! Startup, serving and shutdown of a daemon.
//!
//! A [`DaemonLifecycle`] starts with the daemon's settings in the [`StartingPhase`]: it
//! binds its ports ([`PeerSockets`] for the other daemons) and registers in the store.
//! It then reads the shared rows, starts the daemon's threads and serves
//! ([`ServingPhase`]), reachable at its [`DaemonAddresses`]; a [`MaintenanceLoop`] does
//! periodic work. A planned stop takes it to the [`DrainingPhase`]: it reports that it
//! is not ready, releases its cells, waits for requests in flight, hands its tokens to
//! other daemons and removes its registration.

mod daemon_addresses;
mod daemon_lifecycle;
mod daemon_threads;
mod drain_steps;
mod draining_phase;
mod http_ports;
mod maintenance_loop;
mod peer_sockets;
mod serving_phase;
mod start_steps;
mod starting_phase;

pub use daemon_addresses::DaemonAddresses;
pub use daemon_lifecycle::DaemonLifecycle;
pub use draining_phase::DrainingPhase;
pub use maintenance_loop::MaintenanceLoop;
pub use peer_sockets::PeerSockets;
pub use serving_phase::ServingPhase;
pub use starting_phase::StartingPhase;
