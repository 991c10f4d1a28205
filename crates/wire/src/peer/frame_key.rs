//! The key that authenticates frames between daemons.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::peer::FrameError;
use crate::peer::PeerFrame;

/// The maximum length of a sealed frame, in bytes.
pub const FRAME_LENGTH_MAX: usize = 4 * 1_024 * 1_024;

const SEAL_BYTES: usize = 32;
const KEY_CONTEXT: &str = "sapphirestile 2026-12-04 frames between daemons";

/// Seals frames with a keyed hash and verifies it when opening them.
///
/// Frames are authenticated, not encrypted.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
/// use sapphirestile_wire::peer::FrameError;
/// use sapphirestile_wire::peer::FrameKey;
/// use sapphirestile_wire::peer::PeerFrame;
/// use sapphirestile_wire::peer::PeerRequest;
///
/// let sender = DaemonName::try_from("entry-1").unwrap();
/// let incarnation = IncarnationNumber::new(1);
/// let frame = PeerFrame { sender, incarnation, call: 7, body: PeerRequest::Ping };
/// let key = FrameKey::new(b"a secret of all daemons");
/// let sealed = key.seal(&frame).unwrap();
/// assert_eq!(key.open::<PeerRequest>(&sealed), Ok(frame));
///
/// let other = FrameKey::new(b"another secret");
/// assert_eq!(other.open::<PeerRequest>(&sealed), Err(FrameError::WrongSeal));
/// ```
#[derive(Clone)]
pub struct FrameKey([u8; 32]);

impl FrameKey {
    /// Derives the key from the secret shared by all daemons.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }

    /// Encodes a frame and prepends its seal.
    ///
    /// # Errors
    ///
    /// [`FrameError::TooLong`] when the sealed frame exceeds [`FRAME_LENGTH_MAX`], and
    /// [`FrameError::WrongContent`] when the frame cannot be encoded.
    pub fn seal<B: Serialize>(&self, frame: &PeerFrame<B>) -> Result<Vec<u8>, FrameError> {
        let content = postcard::to_stdvec(frame).map_err(|_| FrameError::WrongContent)?;
        if content.len() + SEAL_BYTES > FRAME_LENGTH_MAX {
            return Err(FrameError::TooLong);
        }
        let mut sealed = blake3::keyed_hash(&self.0, &content).as_bytes().to_vec();
        sealed.extend_from_slice(&content);
        Ok(sealed)
    }

    /// Verifies a frame's seal and decodes its content.
    ///
    /// # Errors
    ///
    /// [`FrameError`] when the seal is missing or does not match, or the content does not
    /// decode as a frame with the body `B`.
    pub fn open<B: DeserializeOwned>(&self, sealed: &[u8]) -> Result<PeerFrame<B>, FrameError> {
        let (seal, content) = sealed
            .split_at_checked(SEAL_BYTES)
            .ok_or(FrameError::TooShort)?;
        let seal = blake3::Hash::from_slice(seal).map_err(|_| FrameError::TooShort)?;
        if seal != blake3::keyed_hash(&self.0, content) {
            return Err(FrameError::WrongSeal);
        }
        postcard::from_bytes(content).map_err(|_| FrameError::WrongContent)
    }
}
