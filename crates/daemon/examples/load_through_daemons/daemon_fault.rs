//! Faults that are brought about under load.

use serde_json::json;

use crate::daemon_fleet::DaemonFleet;
use sapphirestile_test_support::call_json;

/// A fault that is brought about under load.
#[derive(Clone, Copy, Debug)]
pub enum DaemonFault {
    /// A daemon is killed.
    Kill,
    /// Operators take a zone out.
    ZoneOut,
}

impl DaemonFault {
    /// Brings the fault about.
    pub fn bring_about(self, fleet: &mut DaemonFleet) {
        match self {
            Self::Kill => fleet.daemons.remove(1).kill(),
            Self::ZoneOut => {
                let change = json!({ "state": "out", "author": "operator-1" });
                let operators = fleet.daemons[0].operators();
                let answer = call_json(operators, "POST", "/v1/zones/near-b", &change);
                let (status, answer) = answer.expect("the change is answered");
                assert_eq!(status, 200, "{answer}");
            }
        }
    }
}
