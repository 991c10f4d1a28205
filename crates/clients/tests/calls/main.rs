//! Scenes of calls to the platform: what the clients make of what happens.

mod buffer_scenes;
mod decoder_properties;
mod http_scenes;
mod peer_script;
mod pool_scenes;
mod runner_scenes;
mod scripted_peer;
mod store_scenes;
mod vm_listings;
mod vm_scenes;
mod worker_scenes;
