//! A ledger of tokens in any size.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_slots::HandoverMessage;
use sapphirestile_slots::PageCursor;
use sapphirestile_slots::TokenHolder;
use sapphirestile_slots::TokenLedger;
use sapphirestile_wire::peer::TokenReport;

use crate::scenes::FreeTokens;
use crate::scenes::identity;

const MEMBERS: usize = 7;
const SLOTS: u32 = 8;
const LONGEST_REQUEST_MS: u64 = 30_000;
const ROUND_STEPS: usize = 40;
const WEIGHT: u32 = 120_000;

/// A ledger of runners with eight slots each and seven members.
pub struct TokenScene {
    pub ledger: TokenLedger,
    pub members: Vec<DaemonIdentity>,
}

impl TokenScene {
    pub fn build(runners: usize) -> Self {
        let members: Vec<DaemonIdentity> = (0..MEMBERS).map(identity).collect();
        let mut draft = TokenLedger::default().draft();
        for member in &members {
            draft.add_member(member);
        }
        for place in 0..runners {
            let runner = format!("runner-near-a-{place:05}");
            let runner = RunnerName::try_from(runner).expect("a valid name");
            draft.raise_slots(&runner, SLOTS);
        }
        Self {
            ledger: draft.finish(),
            members,
        }
    }

    /// The holder of the member at one place.
    pub fn holder(&self, place: usize) -> TokenHolder {
        let now = MonoTime::from_millis(0);
        let me = &self.members[place];
        TokenHolder::new(me, &self.ledger, LONGEST_REQUEST_MS, now, &FreeTokens)
    }

    /// Hands one token of every runner from the first member to the second; all
    /// counters in one message.
    pub fn handover(&self) -> HandoverMessage {
        let mut holder = self.holder(0);
        for runner in self.ledger.runners.keys() {
            holder.hand_over(&self.members[1], runner, 1, &FreeTokens);
        }
        holder.message_to(&self.members[1], None, usize::MAX)
    }

    /// The page of counters that a member repeats when it handed a token of each of
    /// `moved` runners to a peer.
    pub fn page(&self, moved: usize) -> HandoverMessage {
        let mut holder = self.holder(0);
        for runner in self.ledger.runners.keys().take(moved) {
            holder.hand_over(&self.members[1], runner, 1, &FreeTokens);
        }
        PageCursor::new(ROUND_STEPS).next_page(&holder, &self.members[1])
    }

    /// What a member tells its peers four times a second.
    pub fn report(&self) -> TokenReport {
        let service = ServiceName::try_from("sizing").expect("a valid name");
        TokenReport {
            zone: ZoneName::try_from("near-a").expect("a valid name"),
            generation: self.ledger.generation.get(),
            weights: vec![(service, WEIGHT)],
            tokens: self.ledger.runners.keys().map(|_| 1).collect(),
        }
    }
}
