//! Why a frame was refused.

/// A frame that cannot be sealed or opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameFault {
    /// It is longer than allowed.
    TooLong,
    /// It is shorter than its seal.
    TooShort,
    /// It was not sealed with this key, or was changed since.
    WrongSeal,
    /// Its content is no such message.
    WrongContent,
}

impl std::fmt::Display for FrameFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::TooLong => "the frame is longer than allowed",
            Self::TooShort => "the frame is shorter than its seal",
            Self::WrongSeal => "the frame's seal is wrong",
            Self::WrongContent => "the frame's content is no such message",
        })
    }
}

impl std::error::Error for FrameFault {}
