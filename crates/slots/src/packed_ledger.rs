//! Serialized form of a ledger.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::SortedTable;
use serde::Deserialize;
use serde::Serialize;

use crate::LedgerError;
use crate::LedgerGeneration;
use crate::MemberGrant;
use crate::RunnerGrant;
use crate::TokenLedger;
use crate::packed_grant::PackedGrant;

/// A ledger that contains each member's identity only once. It is validated when it is
/// converted into a [`TokenLedger`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedLedger {
    generation: LedgerGeneration,
    reclaims: u64,
    members: Vec<DaemonIdentity>,
    runners: Vec<PackedGrant>,
}

impl From<TokenLedger> for PackedLedger {
    fn from(ledger: TokenLedger) -> Self {
        let members = &ledger.members;
        let pack = |(runner, grant): (_, &RunnerGrant)| PackedGrant {
            runner: Clone::clone(runner),
            created_in: grant.created_in,
            grants: members.iter().map(|member| grant.of(member)).collect(),
        };
        Self {
            generation: ledger.generation,
            reclaims: ledger.reclaims,
            runners: ledger.runners.iter().map(pack).collect(),
            members: ledger.members,
        }
    }
}

impl TryFrom<PackedLedger> for TokenLedger {
    type Error = LedgerError;

    fn try_from(packed: PackedLedger) -> Result<Self, Self::Error> {
        let PackedLedger {
            generation,
            reclaims,
            members,
            runners,
        } = packed;
        if !members.is_sorted_by(|one, next| one < next) {
            return Err(LedgerError::UnsortedMembers);
        }
        let mut table = SortedTable::new();
        for packed in runners {
            let runner = packed.runner.clone();
            table.insert(runner, unpack(&packed, &members)?);
        }
        Ok(Self {
            generation,
            reclaims,
            members,
            runners: table,
        })
    }
}

fn unpack(packed: &PackedGrant, members: &[DaemonIdentity]) -> Result<RunnerGrant, LedgerError> {
    let error = || LedgerError::SumMismatch(packed.runner.clone());
    if packed.grants.len() != members.len() {
        return Err(error());
    }
    let slots = packed.grants.iter().map(MemberGrant::net).sum::<i64>();
    let slots = u32::try_from(slots).map_err(|_| error())?;
    let grants = members.iter().cloned().zip(packed.grants.iter().copied());
    let held = grants.filter(|(_, grant)| *grant != MemberGrant::default());
    Ok(RunnerGrant {
        created_in: packed.created_in,
        slots,
        members: held.collect(),
    })
}
