//! Property test: requests with random bytes as their body.

use oxhttp::model::HeaderMap;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

use sapphirestile_standins::serving::StandinRequest;
use sapphirestile_standins::serving::StandinService;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_standins::store::StoreService;
use sapphirestile_standins::vms::VmListFaults;
use sapphirestile_standins::vms::VmListService;
use sapphirestile_standins::worker::WorkerService;
use sapphirestile_standins::worker::WorkerSettings;

const SEED: u64 = 20_261_204;

const PATHS: [&str; 11] = [
    "/v3/kv/range",
    "/v3/kv/txn",
    "/v3/lease/grant",
    "/v3/lease/keepalive",
    "/v3/watch",
    "/v1/vms",
    "/v1/session",
    "/v1/start",
    "/v1/stop",
    "/v1/throttle",
    "/faults",
];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bodies_are_refused(
        path in select(PATHS.as_slice()),
        body in vec(any::<u8>(), 0..64),
    ) {
        let services: [&dyn StandinService; 3] = [
            &StoreService::new(StoreFaults::default()),
            &VmListService::new(VmListFaults::default()),
            &WorkerService::new(WorkerSettings::default()),
        ];
        let method = if path == "/v1/vms" { "PUT" } else { "POST" };
        for service in services {
            let response = service.respond(&StandinRequest {
                method,
                path,
                headers: &HeaderMap::new(),
                body: &body,
                is_first_on_connection: false,
            });
            assert!(response.status == 400 || response.status == 404);
        }
    }
}
