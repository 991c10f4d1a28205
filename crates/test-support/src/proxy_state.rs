//! State shared by the threads of a proxy.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use crate::ProxyMode;
use crate::relay_direction::RelayDirection;

const BUFFER_BYTES: usize = 16 * 1_024;

/// The mode of a proxy and its open connections.
#[derive(Default)]
pub struct ProxyState {
    mode: Mutex<ProxyMode>,
    changed: Condvar,
    /// Both streams of each connection, to close them when the mode becomes
    /// [`ProxyMode::Disconnected`].
    streams: Mutex<Vec<TcpStream>>,
    /// The number of connections that were accepted; each has its place among them.
    accepted: AtomicUsize,
    /// Connections before this place are silent.
    first_working: AtomicUsize,
    open: AtomicUsize,
}

impl ProxyState {
    /// Changes the mode, wakes the threads that withhold data, and closes all
    /// connections when the new mode is [`ProxyMode::Disconnected`].
    pub fn set_mode(&self, mode: ProxyMode) {
        *self.lock_mode() = mode;
        self.changed.notify_all();
        if mode == ProxyMode::Disconnected {
            for stream in self.lock_streams().drain(..) {
                // Fails when the peer has closed the connection already.
                let _shutdown = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Withholds all further data of the open connections for good; new ones work.
    pub fn silence_open(&self) {
        let accepted = self.accepted.load(Ordering::SeqCst);
        self.first_working.store(accepted, Ordering::SeqCst);
    }

    /// The number of connections that the client has not closed.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Forwards one accepted connection to `target`, on two threads of its own. Closes it
    /// when the target cannot be reached.
    pub fn relay(self: &Arc<Self>, client: TcpStream, target: SocketAddr) {
        if *self.lock_mode() == ProxyMode::Disconnected {
            return;
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let copies = [
            client.try_clone(),
            server.try_clone(),
            client.try_clone(),
            server.try_clone(),
        ];
        let [
            Ok(client_reader),
            Ok(server_reader),
            Ok(client_handle),
            Ok(server_handle),
        ] = copies
        else {
            return;
        };
        self.lock_streams().extend([client_handle, server_handle]);
        let place = self.accepted.fetch_add(1, Ordering::SeqCst);
        self.open.fetch_add(1, Ordering::SeqCst);
        let (sender, receiver) = (Arc::clone(self), Arc::clone(self));
        thread::spawn(move || {
            sender.forward(client_reader, server, RelayDirection::ToTarget, place);
            sender.open.fetch_sub(1, Ordering::SeqCst);
        });
        thread::spawn(move || {
            receiver.forward(server_reader, client, RelayDirection::FromTarget, place);
        });
    }

    fn forward(
        &self,
        mut reader: TcpStream,
        mut writer: TcpStream,
        direction: RelayDirection,
        place: usize,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(length) = reader.read(&mut buffer) {
            if length == 0 {
                break;
            }
            self.wait_to_forward(direction);
            if place < self.first_working.load(Ordering::SeqCst) {
                continue;
            }
            if writer.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        // Passes the end of the stream on to the other side.
        let _shutdown = writer.shutdown(Shutdown::Write);
    }

    /// Blocks until the mode allows data in `direction` to be forwarded.
    fn wait_to_forward(&self, direction: RelayDirection) {
        let is_held = |mode: &mut ProxyMode| match mode {
            ProxyMode::Stalled => true,
            ProxyMode::ResponsesHeld => direction == RelayDirection::FromTarget,
            ProxyMode::Forwarding | ProxyMode::Disconnected | ProxyMode::Delayed(_) => false,
        };
        let mode = self.changed.wait_while(self.lock_mode(), is_held);
        let mode = *mode.unwrap_or_else(PoisonError::into_inner);
        if let ProxyMode::Delayed(delay) = mode {
            thread::sleep(delay);
        }
    }

    fn lock_mode(&self) -> MutexGuard<'_, ProxyMode> {
        self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_streams(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
