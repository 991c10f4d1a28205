//! Why no worker was chosen.

use crate::SizeDimension;
use crate::choice::size_text::SizeText;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;

/// Why a task was not placed, to be shown to the user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// The task is larger than any worker of its zones: answered at once.
    NeverFits {
        /// What the task asks for.
        size: ResourceSize,
        /// The largest of each dimension among the workers of its zones.
        largest: ResourceSize,
    },
    /// The task would fit an empty worker, but no worker has room now.
    NoRoomNow {
        /// How many workers the task would fit on when they are empty.
        large_enough: usize,
        /// The dimension that most of them are short of.
        short_of: SizeDimension,
    },
    /// The customer's running tasks leave too little of its quota.
    QuotaReached {
        /// The customer.
        customer: CustomerName,
        /// What is left of its quota.
        left: ResourceSize,
        /// The dimension that the quota is short of.
        short_of: SizeDimension,
        /// Whether the task alone is larger than the whole quota.
        larger_than_quota: bool,
    },
    /// No worker of the task's zones takes work.
    NoZone,
}

impl PlacementRefusal {
    /// Whether waiting cannot help unless operators change something.
    #[must_use]
    pub const fn is_final(&self) -> bool {
        match self {
            Self::NeverFits { .. } => true,
            Self::QuotaReached {
                larger_than_quota, ..
            } => *larger_than_quota,
            Self::NoRoomNow { .. } | Self::NoZone => false,
        }
    }
}

impl std::fmt::Display for PlacementRefusal {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NeverFits { size, largest } => write!(
                formatter,
                "never fits: asks for {}, no worker has more than {}",
                SizeText(size),
                SizeText(largest)
            ),
            Self::NoRoomNow {
                large_enough,
                short_of,
            } => write!(
                formatter,
                "no room now: {large_enough} workers are large enough, most are short of {short_of}"
            ),
            Self::QuotaReached {
                customer,
                left,
                short_of,
                larger_than_quota,
            } => {
                let extent = if *larger_than_quota {
                    "whole quota"
                } else {
                    "rest of the quota"
                };
                write!(
                    formatter,
                    "quota reached: the {extent} of {customer} is short of {short_of}, left {}",
                    SizeText(left)
                )
            }
            Self::NoZone => formatter.write_str("no zone: no worker of the zones takes work"),
        }
    }
}

impl std::error::Error for PlacementRefusal {}
