//! The life of a daemon.
//!
//! A [`DaemonCycle`] is started from its settings ([`StartingPhase`]): it binds
//! its ports, registers and reads what the store holds. It then serves
//! ([`ServingPhase`]) until a planned stop, which drains it ([`DrainingPhase`]):
//! it turns unready, gives its cells up, answers what is in flight, and ends.

mod daemon_addresses;
mod daemon_cycle;
mod daemon_threads;
mod drain_steps;
mod draining_phase;
mod house_keeper;
mod http_ports;
mod peer_ports;
mod serving_phase;
mod start_steps;
mod starting_phase;

pub use daemon_addresses::DaemonAddresses;
pub use daemon_cycle::DaemonCycle;
pub use draining_phase::DrainingPhase;
pub use house_keeper::HouseKeeper;
pub use peer_ports::PeerPorts;
pub use serving_phase::ServingPhase;
pub use starting_phase::StartingPhase;
