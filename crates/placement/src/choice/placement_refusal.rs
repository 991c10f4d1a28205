//! Why no worker was chosen.

use crate::SizeDimension;
use crate::choice::size_text::SizeText;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;

/// Why a task was not placed; its `Display` text is shown to users.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// The task does not fit on any worker of its zones, even an empty one.
    NeverFits {
        /// The requested size.
        size: ResourceSize,
        /// The maximum of each dimension over the workers of its zones.
        largest: ResourceSize,
    },
    /// The task would fit on an empty worker, but no worker has enough free
    /// resources now or meets the other limits.
    NoCapacity {
        /// The number of workers that it would fit on if they were empty.
        large_enough: usize,
        /// The dimension that most of them lack.
        short_of: SizeDimension,
    },
    /// The remaining quota of the customer is too small.
    QuotaReached {
        /// The customer whose quota is reached.
        customer: CustomerName,
        /// The remaining quota.
        remaining: ResourceSize,
        /// The first dimension in which the task exceeds the remaining quota.
        short_of: SizeDimension,
        /// Whether the task alone exceeds the whole quota.
        larger_than_quota: bool,
    },
    /// No worker in the task's zones takes new tasks.
    NoWorker,
}

impl PlacementRefusal {
    /// Whether the task stays unplaceable until an operator changes a quota or
    /// the set of workers.
    #[must_use]
    pub const fn is_final(&self) -> bool {
        match self {
            Self::NeverFits { .. } => true,
            Self::QuotaReached {
                larger_than_quota, ..
            } => *larger_than_quota,
            Self::NoCapacity { .. } | Self::NoWorker => false,
        }
    }
}

impl std::fmt::Display for PlacementRefusal {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NeverFits { size, largest } => write!(
                formatter,
                "never fits: requested {}; the largest worker has {}",
                SizeText(size),
                SizeText(largest)
            ),
            Self::NoCapacity {
                large_enough,
                short_of,
            } => write!(
                formatter,
                "no capacity now: {large_enough} workers are large enough, most lack {short_of}"
            ),
            Self::QuotaReached {
                customer,
                remaining,
                short_of,
                larger_than_quota,
            } => {
                let extent = if *larger_than_quota {
                    "whole quota"
                } else {
                    "remaining quota"
                };
                write!(
                    formatter,
                    "quota reached: the {extent} of {customer} lacks {short_of}; remaining {}",
                    SizeText(remaining)
                )
            }
            Self::NoWorker => {
                formatter.write_str("no worker in the zones of the task takes new tasks")
            }
        }
    }
}

impl std::error::Error for PlacementRefusal {}
