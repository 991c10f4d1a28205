//! Runs one seed.

use std::panic::catch_unwind;

use crate::SoakVerdict;
use crate::SoakWorld;

/// Runs one seed to its end or to the first broken invariant.
///
/// # Examples
///
/// ```
/// use sapphirestile_soak::run_seed;
///
/// assert_eq!(run_seed(1).violation, None);
/// ```
#[must_use]
pub fn run_seed(seed: u64) -> SoakVerdict {
    let ran = catch_unwind(|| SoakWorld::new(seed).run());
    ran.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
        SoakVerdict {
            seed,
            violation: Some(format!("panicked: {}", text.unwrap_or("no message"))),
            ..SoakVerdict::default()
        }
    })
}
