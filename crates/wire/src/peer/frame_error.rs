//! Errors of sealing and opening frames.

/// A frame that cannot be sealed or opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is longer than [`FRAME_LENGTH_MAX`](crate::peer::FRAME_LENGTH_MAX).
    TooLong,
    /// The frame is too short to hold a seal.
    TooShort,
    /// The frame was sealed with another key or modified afterwards.
    WrongSeal,
    /// The content cannot be encoded, or does not decode as the expected message.
    WrongContent,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::TooLong => "the frame exceeds the maximum length",
            Self::TooShort => "the frame is too short to hold a seal",
            Self::WrongSeal => "the frame's seal does not match its content and the shared key",
            Self::WrongContent => "the frame's content is not a message of the expected type",
        })
    }
}

impl std::error::Error for FrameError {}
