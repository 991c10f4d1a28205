//! What the threads of a link share.

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
use std::thread;

use crate::LinkMode;
use crate::piece_way::PieceWay;

const BUFFER_BYTES: usize = 16 * 1_024;

/// What a link does, and its connections.
#[derive(Default)]
pub struct LinkState {
    mode: Mutex<LinkMode>,
    changed: Condvar,
    streams: Mutex<Vec<TcpStream>>,
}

impl LinkState {
    /// Has the link do something else from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        *self.lock_mode() = mode;
        self.changed.notify_all();
        if mode == LinkMode::Cut {
            for stream in self.lock_streams().drain(..) {
                // It may have ended already.
                let _ended = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Relays one connection.
    pub fn relay(self: &Arc<Self>, near: TcpStream, target: SocketAddr) {
        if *self.lock_mode() == LinkMode::Cut {
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
        self.lock_streams().extend([near_kept, far_kept]);
        let (there, back) = (Arc::clone(self), Arc::clone(self));
        thread::spawn(move || there.pump(near_reader, far, PieceWay::There));
        thread::spawn(move || back.pump(far_reader, near, PieceWay::Back));
    }

    fn pump(&self, mut reader: TcpStream, mut writer: TcpStream, way: PieceWay) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(length) = reader.read(&mut buffer) {
            if length == 0 {
                break;
            }
            self.hold_back(way);
            if writer.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        // The other side hears that this one has ended.
        let _ended = writer.shutdown(Shutdown::Write);
    }

    /// Waits for as long as the link holds a piece back.
    fn hold_back(&self, way: PieceWay) {
        let is_held = |mode: &mut LinkMode| match mode {
            LinkMode::Silent => true,
            LinkMode::AnswersHeld => way == PieceWay::Back,
            LinkMode::Open | LinkMode::Cut | LinkMode::Slow(_) => false,
        };
        let mode = self.changed.wait_while(self.lock_mode(), is_held);
        let mode = *mode.unwrap_or_else(PoisonError::into_inner);
        if let LinkMode::Slow(delay) = mode {
            thread::sleep(delay);
        }
    }

    fn lock_mode(&self) -> MutexGuard<'_, LinkMode> {
        self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_streams(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
