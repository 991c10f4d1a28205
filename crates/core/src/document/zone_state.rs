//! Whether a zone takes work.

use serde::Deserialize;
use serde::Serialize;

/// Whether operators have taken a zone out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone takes work.
    In,
    /// The zone was taken out: nothing starts there, and what runs there leaves.
    Out,
}

impl TryFrom<&str> for ZoneState {
    type Error = &'static str;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        match text {
            "in" => Ok(Self::In),
            "out" => Ok(Self::Out),
            _ => Err("neither in nor out"),
        }
    }
}

impl std::fmt::Display for ZoneState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::In => "in",
            Self::Out => "out",
        })
    }
}
