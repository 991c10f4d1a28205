//! Splitting of handover messages into datagrams.

use sapphirestile_slots::HandoverMessage;
use sapphirestile_slots::HandoverTotal;

/// The maximum size of the counters in a datagram, in bytes. With the headers, the
/// datagram stays below the size that every network carries without fragmentation.
const TOTALS_BYTES_MAX: usize = 1_000;
const VARINT_BITS: u32 = 7;

/// Splits a handover message into messages that each fit into a datagram.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DaemonIdentity;
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
/// use sapphirestile_slots::HandoverMessage;
/// use sapphirestile_wire::peer::HandoverParts;
///
/// let member = DaemonIdentity {
///     daemon: DaemonName::try_from("vm-1").unwrap(),
///     incarnation: IncarnationNumber::new(1),
/// };
/// let message = HandoverMessage { from: member.clone(), to: member, totals: Vec::new() };
/// assert_eq!(HandoverParts::new(message).count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct HandoverParts {
    remaining: HandoverMessage,
}

impl HandoverParts {
    /// Iterates over the parts of `message`; there are none when it has no counters.
    #[must_use]
    pub const fn new(message: HandoverMessage) -> Self {
        Self { remaining: message }
    }
}

impl Iterator for HandoverParts {
    type Item = HandoverMessage;

    fn next(&mut self) -> Option<HandoverMessage> {
        let mut bytes = 0;
        let fits = |total: &&HandoverTotal| {
            bytes += counter_bytes(total);
            bytes <= TOTALS_BYTES_MAX
        };
        // Each part has at least one counter, even if its name exceeds the limit.
        let count = self.remaining.totals.iter().take_while(fits).count().max(1);
        let count = count.min(self.remaining.totals.len());
        let totals: Vec<HandoverTotal> = self.remaining.totals.drain(..count).collect();
        (!totals.is_empty()).then(|| HandoverMessage {
            from: self.remaining.from.clone(),
            to: self.remaining.to.clone(),
            totals,
        })
    }
}

/// Returns the size of a counter encoded by `postcard`, in bytes.
fn counter_bytes(total: &HandoverTotal) -> usize {
    let name_bytes = total.runner.as_str().len();
    let numbers = [name_bytes as u64, total.created_in.get(), total.total];
    name_bytes + numbers.map(varint_bytes).iter().sum::<usize>()
}

/// Returns the size of a varint, in bytes.
fn varint_bytes(number: u64) -> usize {
    let bits = (u64::BITS - number.leading_zeros()).max(1);
    bits.div_ceil(VARINT_BITS) as usize
}
