//! Sealed frames over TCP.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use sapphirestile_wire::peer::FRAME_LENGTH_MAX;

/// Reads and writes frames, each after its length in four bytes.
pub struct FrameStream {
    stream: TcpStream,
}

impl FrameStream {
    /// Frames over `stream`, each part of which may take up to `timeout`.
    ///
    /// # Errors
    ///
    /// When the stream takes no time-out.
    pub fn new(stream: TcpStream, timeout: Duration) -> std::io::Result<Self> {
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    /// Writes a frame.
    ///
    /// # Errors
    ///
    /// When the stream fails or takes too long.
    pub fn write(&mut self, frame: &[u8]) -> std::io::Result<()> {
        let length = u32::try_from(frame.len()).map_err(|_| too_long())?;
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend_from_slice(frame);
        self.stream.write_all(&bytes)
    }

    /// Reads a whole frame.
    ///
    /// # Errors
    ///
    /// When the stream fails, ends or takes too long, or the frame is too long.
    pub fn read(&mut self) -> std::io::Result<Vec<u8>> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length)?;
        let length = usize::try_from(u32::from_be_bytes(length)).map_err(|_| too_long())?;
        if length > FRAME_LENGTH_MAX {
            return Err(too_long());
        }
        let mut frame = vec![0; length];
        self.stream.read_exact(&mut frame)?;
        Ok(frame)
    }
}

fn too_long() -> Error {
    Error::new(ErrorKind::InvalidData, "a frame is longer than allowed")
}
