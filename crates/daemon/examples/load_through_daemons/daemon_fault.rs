//! Faults injected under load.

use serde_json::json;

use crate::daemon_fleet::DaemonFleet;
use sapphirestile_test_support::call_json;

/// A fault to inject while callers send requests.
#[derive(Clone, Copy, Debug)]
pub enum DaemonFault {
    /// Kills the second daemon.
    Kill,
    /// Takes the zone `near-b` out of service.
    ZoneOut,
}

impl DaemonFault {
    /// Injects the fault. A killed daemon is removed from `fleet`.
    pub fn inject(self, fleet: &mut DaemonFleet) {
        match self {
            Self::Kill => fleet.daemons.remove(1).kill(),
            Self::ZoneOut => {
                let change = json!({ "state": "out", "author": "operator-1" });
                let operators = fleet.daemons[0].operators();
                let answer = call_json(operators, "POST", "/v1/zones/near-b", &change);
                let (status, answer) = answer.expect("the operator port answers the change");
                assert_eq!(status, 200, "{answer}");
            }
        }
    }
}
