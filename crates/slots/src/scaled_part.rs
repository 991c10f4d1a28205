//! Parts of a whole in whole numbers.

/// `whole` times `part` divided by `parts`, rounded down, or the largest number when
/// that is larger.
pub fn scaled_part(whole: u64, part: u64, parts: u64) -> u64 {
    let parts = parts.max(1);
    if let Some(product) = whole.checked_mul(part) {
        return product / parts;
    }
    let scaled = u128::from(whole) * u128::from(part) / u128::from(parts);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
