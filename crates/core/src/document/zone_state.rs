//! Whether a zone takes work.

use serde::Deserialize;
use serde::Serialize;

/// Whether a zone takes work, as set by operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone takes work; written `in`.
    In,
    /// The zone is out of service; written `out`. Nothing is started there, and what
    /// runs there is moved away.
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
