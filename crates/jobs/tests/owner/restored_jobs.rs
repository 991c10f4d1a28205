//! Jobs that an earlier owner left.

use sapphirestile_jobs::DecisionEvent;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::StoredJob;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::job_spec;
use crate::test_values::step;
use crate::test_values::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const AGE_MS: u64 = 60_000;
/// Time of day, in milliseconds of the Unix epoch.
const UNIX_MS: u64 = 100_000;

/// After a power failure of all machines, old jobs were taken for as young as the clocks.
#[test]
fn job_is_as_old_as_since_its_acceptance_though_the_machine_has_just_started() {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    assert!(fixture.now < AGE_MS);
    let identity = JobIdentity::try_from(JOB).unwrap();
    let stored = StoredJob {
        identity,
        spec: JobSpec {
            accepted_unix_ms: UNIX_MS - AGE_MS,
            ..job_spec(vec![step(1, 1_000)])
        },
        progress: None,
        place: JobPlace::Home,
        is_cancelled: false,
    };
    let now = fixture.time();
    fixture.owner.restore_job(stored, now, UNIX_MS);
    fixture.cancel(JOB);
    let ages: Vec<u64> = fixture
        .owner
        .take_decisions()
        .into_iter()
        .filter_map(|decision| match decision {
            DecisionEvent::JobEnded { age_ms, .. } => Some(age_ms),
            _ => None,
        })
        .collect();
    assert_eq!(ages, [AGE_MS]);
}
