//! The versions of the configuration that the operator wrote and the daemons served.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sapphirestile_platform_standins::SiteBodies;

/// The version of the configuration that every scenario starts with.
const FIRST_VERSION: u64 = 3;

/// Nearly as many queues as a row of a megabyte holds.
const OTHER_QUEUES_MAX: usize = 4_000;

/// Draws versions of the configuration, apart from the faults of the same seed, and
/// remembers the latest version that each daemon has served.
pub struct ConfigLog {
    random: StdRng,
    latest: u64,
    served: Vec<u64>,
}

impl ConfigLog {
    pub fn new(seed: u64, daemons: usize) -> Self {
        Self {
            random: StdRng::seed_from_u64(!seed),
            latest: FIRST_VERSION,
            served: vec![0; daemons],
        }
    }

    /// The next few versions that the operator writes at once; none at most times.
    pub fn draw(&mut self) -> Vec<String> {
        if self.random.random_bool(0.5) {
            return Vec::new();
        }
        let versions = self.random.random_range(1..4);
        (0..versions).map(|_| self.next_version()).collect()
    }

    fn next_version(&mut self) -> String {
        let others = self.random.random_range(0..OTHER_QUEUES_MAX);
        self.version_with(others)
    }

    /// A next version of nearly the greatest size.
    pub fn large_version(&mut self) -> String {
        self.version_with(OTHER_QUEUES_MAX)
    }

    fn version_with(&mut self, others: usize) -> String {
        self.latest += self.random.random_range(1..4);
        SiteBodies::config_version(self.latest, others)
    }

    /// The version that was written last.
    pub const fn latest(&self) -> u64 {
        self.latest
    }

    /// A daemon served a request as only `version` allows.
    pub fn record_served(&mut self, daemon: usize, version: u64) {
        self.served[daemon] = version;
    }

    /// A daemon did not know the queue of `version`.
    ///
    /// # Panics
    ///
    /// When the daemon has served that version before.
    pub fn check_not_served(&self, daemon: usize, version: u64) {
        assert!(
            self.served[daemon] < version,
            "daemon {daemon} went back behind version {version}"
        );
    }
}
