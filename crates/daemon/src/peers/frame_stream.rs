//! Sealed frames over TCP.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use sapphirestile_wire::peer::FRAME_LENGTH_MAX;

/// Reads and writes frames. Each frame follows its length, a big-endian `u32`.
pub struct FrameStream {
    stream: TcpStream,
}

impl FrameStream {
    /// Creates a stream of frames. Each read from or write to `stream` may take up to
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// When a time-out or `TCP_NODELAY` cannot be set on the stream.
    pub fn new(stream: TcpStream, timeout: Duration) -> std::io::Result<Self> {
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    /// Writes a frame with its length.
    ///
    /// # Errors
    ///
    /// When the write fails or times out, or the length of the frame does not fit into a
    /// `u32`.
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
    /// When a read fails or times out, the stream ends, or the frame is longer than
    /// [`FRAME_LENGTH_MAX`]; of such a frame only the length is read.
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
    Error::new(
        ErrorKind::InvalidData,
        format!("frame exceeds the limit of {FRAME_LENGTH_MAX} bytes"),
    )
}
