//! A daemon with callers that keep using their connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use nix::sys::signal::Signal;
use sapphirestile_test_support::FaultProxy;
use sapphirestile_test_support::ProxyMode;

use crate::channel_caller::ChannelCaller;
use crate::soak_daemon::SoakDaemon;

/// The number of callers of a daemon.
pub const CALLERS_PER_DAEMON: u64 = 8;

/// The longest time that the slowest caller waits between two requests, in milliseconds: its
/// connection may be open and idle through most of a stop.
const THINK_MAX_MS: u64 = 3_000;

/// A daemon, its link to the store, and its callers, who connect while it is in rotation.
pub struct BusyDaemon {
    daemon: SoakDaemon,
    link: FaultProxy,
    is_in_rotation: Arc<AtomicBool>,
    is_over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<ChannelCaller>>,
}

impl BusyDaemon {
    /// Starts a daemon at 127.`second`.0.1.
    pub fn start(folder: &Path, second: u8, store: SocketAddr) -> Self {
        let link = FaultProxy::start(store);
        let address = Ipv4Addr::new(127, second, 0, 1);
        let name = format!("entry-{second}");
        let daemon = SoakDaemon::start(folder, &name, address, link.address());
        let is_in_rotation = Arc::default();
        let is_over = Arc::default();
        let callers = (0..CALLERS_PER_DAEMON)
            .map(|number| spawn_caller(daemon.callers(), number, &is_in_rotation, &is_over))
            .collect();
        Self {
            daemon,
            link,
            is_in_rotation,
            is_over,
            callers,
        }
    }

    pub fn log_path(&self) -> PathBuf {
        self.daemon.log_path()
    }

    /// Waits until the daemon accepts callers, and lets them come.
    pub fn enter_rotation(&self) {
        self.daemon.wait_for_start();
        self.is_in_rotation.store(true, Ordering::Release);
    }

    /// Sends SIGHUP, then SIGTERM; the store behaves by `mode` meanwhile.
    pub fn reload_and_stop(&self, mode: ProxyMode) {
        self.daemon.reload();
        self.link.set_mode(mode);
        self.daemon.signal(Signal::SIGTERM);
        self.is_in_rotation.store(false, Ordering::Release);
    }

    pub fn wait_for_end(&mut self) {
        self.daemon.wait_for_end();
    }

    /// Starts the daemon again, with a store that answers.
    pub fn restart(&mut self) {
        self.link.restore();
        self.daemon.resume_or_restart();
    }

    /// Ends the callers and returns what they saw.
    pub fn into_callers(self) -> Vec<ChannelCaller> {
        self.is_over.store(true, Ordering::Release);
        let callers = self.callers.into_iter();
        callers
            .map(|caller| caller.join().expect("no answer is cut"))
            .collect()
    }
}

fn spawn_caller(
    address: SocketAddr,
    number: u64,
    is_in_rotation: &Arc<AtomicBool>,
    is_over: &Arc<AtomicBool>,
) -> JoinHandle<ChannelCaller> {
    let is_in_rotation = Arc::clone(is_in_rotation);
    let is_over = Arc::clone(is_over);
    let think_max_ms = THINK_MAX_MS * number / CALLERS_PER_DAEMON;
    thread::spawn(move || {
        let mut caller = ChannelCaller::new(address, number, think_max_ms);
        while !is_over.load(Ordering::Acquire) {
            caller.use_one_channel(&is_in_rotation);
        }
        caller
    })
}
