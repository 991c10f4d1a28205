//! A TCP proxy whose open channels can go silent for good.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// How often a proxy with all its channels looks whether one was closed.
const FULL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct ProxyState {
    /// Channels with a lower number are silent.
    first_working: AtomicU64,
    next: AtomicU64,
    open: AtomicUsize,
    /// Whether the target's process is gone: channels are closed, also new ones.
    is_down: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
}

/// Forwards channels to a target. Those that are open when it is told so go silent: nothing of
/// them is forwarded any more, and they are not reset. New ones work.
pub struct ChannelProxy {
    address: SocketAddr,
    state: Arc<ProxyState>,
}

impl ChannelProxy {
    pub fn start(target: SocketAddr) -> Self {
        Self::start_with_limit(target, usize::MAX)
    }

    /// Starts a proxy that has at most `channels_max` channels open. Further ones wait in the
    /// queue of new channels until one is closed.
    pub fn start_with_limit(target: SocketAddr, channels_max: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free loopback port");
        let address = listener
            .local_addr()
            .expect("read the address of a bound port");
        let state = Arc::new(ProxyState::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            loop {
                while shared.open.load(Ordering::SeqCst) >= channels_max {
                    thread::sleep(FULL_INTERVAL);
                }
                if let Ok((stream, _)) = listener.accept() {
                    relay(stream, target, &shared);
                }
            }
        });
        Self { address, state }
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of channels that are open.
    pub fn open_channels(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Lets all open channels go silent, and returns how many there are.
    pub fn silence_open_channels(&self) -> usize {
        let next = self.state.next.load(Ordering::SeqCst);
        self.state.first_working.store(next, Ordering::SeqCst);
        self.state.open.load(Ordering::SeqCst)
    }

    /// Closes all channels and each new one at once, as when the target's process has crashed;
    /// or lets new ones work again.
    pub fn set_down(&self, is_down: bool) {
        self.state.is_down.store(is_down, Ordering::SeqCst);
        let mut channels = self
            .state
            .channels
            .lock()
            .expect("the channels are not poisoned");
        for channel in channels.drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }
}

fn relay(near: TcpStream, target: SocketAddr, state: &Arc<ProxyState>) {
    if state.is_down.load(Ordering::SeqCst) {
        return;
    }
    let number = state.next.fetch_add(1, Ordering::SeqCst);
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    state.open.fetch_add(1, Ordering::SeqCst);
    if let (Ok(near), Ok(far)) = (near.try_clone(), far.try_clone()) {
        let mut channels = state
            .channels
            .lock()
            .expect("the channels are not poisoned");
        channels.extend([near, far]);
    }
    let pairs = [
        (near.try_clone(), far.try_clone(), true),
        (Ok(far), Ok(near), false),
    ];
    for (from, to, counts) in pairs {
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let state = Arc::clone(state);
        thread::spawn(move || {
            forward(from, to, number, &state);
            if counts {
                state.open.fetch_sub(1, Ordering::SeqCst);
            }
        });
    }
}

/// Forwards bytes in one direction. What arrives on a silent channel is read and dropped.
fn forward(mut from: TcpStream, mut to: TcpStream, number: u64, state: &ProxyState) {
    let mut buffer = vec![0; 64 * 1024];
    let is_silent = || number < state.first_working.load(Ordering::SeqCst);
    loop {
        match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(_) if is_silent() => {}
            Ok(length) => {
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
        }
    }
    if !is_silent() {
        let _ = to.shutdown(Shutdown::Both);
    }
}
