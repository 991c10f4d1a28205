//! Splitting tokens among members.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Splits `count` tokens of `runner` into `parts` parts that differ by at most one. The
/// hash of the runner's name selects the larger parts, so that over many runners they
/// are distributed over all members.
pub fn split_tokens(count: u32, parts: usize, runner: &str) -> Vec<u32> {
    let divisor = u32::try_from(parts).expect("number of members exceeds u32::MAX");
    let (each, remainder) = (count / divisor, count % divisor);
    let start = name_hash(runner) % u64::from(divisor);
    let part = |index: u32| {
        let position = (u64::from(index) + u64::from(divisor) - start) % u64::from(divisor);
        each + u32::from(position < u64::from(remainder))
    };
    (0..divisor).map(part).collect()
}

/// The 64-bit FNV-1a hash of a name.
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
