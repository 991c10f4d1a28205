//! The key that daemons share.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::peer::FrameFault;
use crate::peer::PeerFrame;

/// The longest frame, in bytes.
pub const FRAME_LENGTH_MAX: usize = 4 * 1_024 * 1_024;

const SEAL_LENGTH: usize = 32;
const KEY_CONTEXT: &str = "sapphirestile 2026-12-04 frames between daemons";

/// Seals frames with a keyed hash and opens them again.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
/// use sapphirestile_wire::peer::FrameFault;
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
/// assert_eq!(other.open::<PeerRequest>(&sealed), Err(FrameFault::WrongSeal));
/// ```
#[derive(Clone)]
pub struct FrameKey([u8; 32]);

impl FrameKey {
    /// Derives the key from the daemons' shared secret.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }

    /// Encodes a frame and puts its seal before it.
    ///
    /// # Errors
    ///
    /// [`FrameFault::TooLong`] when it is longer than [`FRAME_LENGTH_MAX`].
    pub fn seal<B: Serialize>(&self, frame: &PeerFrame<B>) -> Result<Vec<u8>, FrameFault> {
        let content = postcard::to_stdvec(frame).map_err(|_| FrameFault::WrongContent)?;
        if content.len() + SEAL_LENGTH > FRAME_LENGTH_MAX {
            return Err(FrameFault::TooLong);
        }
        let mut sealed = blake3::keyed_hash(&self.0, &content).as_bytes().to_vec();
        sealed.extend_from_slice(&content);
        Ok(sealed)
    }

    /// Checks a frame's seal and decodes it.
    ///
    /// # Errors
    ///
    /// The reason when the seal or the content is wrong.
    pub fn open<B: DeserializeOwned>(&self, sealed: &[u8]) -> Result<PeerFrame<B>, FrameFault> {
        let (seal, content) = sealed
            .split_at_checked(SEAL_LENGTH)
            .ok_or(FrameFault::TooShort)?;
        let seal = blake3::Hash::from_slice(seal).map_err(|_| FrameFault::TooShort)?;
        if seal != blake3::keyed_hash(&self.0, content) {
            return Err(FrameFault::WrongSeal);
        }
        postcard::from_bytes(content).map_err(|_| FrameFault::WrongContent)
    }
}
