//! Hand-over messages that fit a datagram.

use sapphirestile_slots::HandoverMessage;
use sapphirestile_slots::HandoverTotal;

/// Bytes of counters in a datagram; with its head it stays below what every network
/// carries in one piece.
const TOTALS_BYTES_MAX: usize = 1_000;
const VARINT_BITS: u32 = 7;

/// Splits a hand-over message into messages that each fit a datagram.
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
    rest: HandoverMessage,
}

impl HandoverParts {
    /// The parts of `message`; none when it has no counters.
    #[must_use]
    pub const fn new(message: HandoverMessage) -> Self {
        Self { rest: message }
    }
}

impl Iterator for HandoverParts {
    type Item = HandoverMessage;

    fn next(&mut self) -> Option<HandoverMessage> {
        let mut bytes = 0;
        let fits = |total: &&HandoverTotal| {
            bytes += bytes_of(total);
            bytes <= TOTALS_BYTES_MAX
        };
        // One counter is always sent, however long its name.
        let count = self.rest.totals.iter().take_while(fits).count().max(1);
        let count = count.min(self.rest.totals.len());
        let totals: Vec<HandoverTotal> = self.rest.totals.drain(..count).collect();
        (!totals.is_empty()).then(|| HandoverMessage {
            from: self.rest.from.clone(),
            to: self.rest.to.clone(),
            totals,
        })
    }
}

/// The bytes of one counter as `postcard` writes it.
fn bytes_of(total: &HandoverTotal) -> usize {
    let name = total.runner.as_str().len();
    let numbers = [name as u64, total.created_in.get(), total.total];
    name + numbers.map(varint_bytes).iter().sum::<usize>()
}

fn varint_bytes(number: u64) -> usize {
    let bits = (u64::BITS - number.leading_zeros()).max(1);
    bits.div_ceil(VARINT_BITS) as usize
}
