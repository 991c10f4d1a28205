//! Entry point of a run.

use std::panic::catch_unwind;

use crate::SoakResult;
use crate::SoakSimulation;

/// Runs one seed until all tasks have ended or an invariant is violated. A panic in the code
/// under test is returned as a violation.
///
/// # Examples
///
/// ```
/// use sapphirestile_soak::run_seed;
///
/// assert_eq!(run_seed(1).violation, None);
/// ```
#[must_use]
pub fn run_seed(seed: u64) -> SoakResult {
    let result = catch_unwind(|| SoakSimulation::new(seed).run());
    result.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
        SoakResult {
            seed,
            violation: Some(format!("panicked: {}", text.unwrap_or("no message"))),
            ..SoakResult::default()
        }
    })
}
