//! What the threads of a link share.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

const BUFFER_BYTES: usize = 16 * 1_024;

/// Whether a link is cut, and its connections.
#[derive(Default)]
pub struct LinkState {
    cut: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl LinkState {
    /// Cuts the link or mends it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Release);
        if cut {
            for stream in self.lock().drain(..) {
                // It may have ended already.
                let _ended = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Relays one connection.
    pub fn relay(&self, near: TcpStream, target: SocketAddr) {
        if self.cut.load(Ordering::Acquire) {
            return;
        }
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let copies = [
            near.try_clone(),
            far.try_clone(),
            near.try_clone(),
            far.try_clone(),
        ];
        let [Ok(near_reader), Ok(far_reader), Ok(near_kept), Ok(far_kept)] = copies else {
            return;
        };
        self.lock().extend([near_kept, far_kept]);
        thread::spawn(move || pump(near_reader, far));
        thread::spawn(move || pump(far_reader, near));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn pump(mut reader: TcpStream, mut writer: TcpStream) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = reader.read(&mut buffer) {
        if length == 0 || writer.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    // The other side hears that this one has ended.
    let _ended = writer.shutdown(Shutdown::Write);
}
