//! Integer scaling without overflow.

/// Computes `whole` * `part` / `parts`, rounded down and saturating at `u64::MAX`. Zero
/// `parts` count as one.
pub fn mul_div(whole: u64, part: u64, parts: u64) -> u64 {
    let parts = parts.max(1);
    if let Some(product) = whole.checked_mul(part) {
        return product / parts;
    }
    let scaled = u128::from(whole) * u128::from(part) / u128::from(parts);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
