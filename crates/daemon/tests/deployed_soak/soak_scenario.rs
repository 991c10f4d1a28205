//! The daemons, stand-ins and faults of one seed.

mod connection_run;
mod crash_run;
mod final_checks;
mod gap_checks;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sapphirestile_platform_standins::SiteBodies;
use sapphirestile_platform_standins::StoreStandin;
use sapphirestile_platform_standins::WorkerFleet;
use sapphirestile_platform_standins::open_port;
use sapphirestile_serving::HttpPort;
use sapphirestile_serving::HttpService;
use sapphirestile_test_support::FaultProxy;
use sapphirestile_test_support::ProxyMode;

use crate::config_log::ConfigLog;
use crate::disturbance_log::DisturbanceLog;
use crate::soak_caller::SoakCaller;
use crate::soak_daemon::SoakDaemon;
use crate::soak_fault::SoakFault;
use crate::soak_worker::SoakWorker;
use crate::submission_log::SubmissionLog;
use crate::submission_log::SubmissionOutcome;

const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

/// Number of scenarios that were started. Tests of both kinds may play a seed at the same time,
/// and each scenario needs a folder of its own.
static SCENARIOS: AtomicU32 = AtomicU32::new(0);
/// The number of daemons.
pub const DAEMONS: usize = 3;

/// The number of workers.
pub const WORKERS: usize = 4;

/// The number of workers of a cell, as in the daemons' settings.
pub const CELL_WORKERS: usize = 2;

/// The name of the entry that is no worker's. The space ends a URL, and a page of the
/// listing ends with this name.
const ODD_WORKER: &str = "i-0 odd";

/// How many lists the odd entry nests.
const ODD_DEPTH: usize = 100_000;

/// The second byte of the first daemon's IP address.
const FIRST_SUBNET: u8 = 64;

/// The number of jobs that are submitted before each fault and after the last.
const JOBS_PER_FAULT: u32 = 3;

/// The maximum time between two faults, in milliseconds.
const FAULT_INTERVAL_MAX_MS: u64 = 1_200;

/// The maximum run time of a task, in milliseconds.
const RUN_MAX_MS: u64 = 900;

const STATUS_OK: u16 = 200;
const STATUS_MISSING: u16 = 404;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// The daemons, stand-ins and callers of one seed.
pub struct SoakScenario {
    seed: u64,
    random: StdRng,
    store: Arc<StoreStandin>,
    fleet: Arc<WorkerFleet>,
    store_links: Vec<FaultProxy>,
    workers: Vec<SoakWorker>,
    daemons: Vec<SoakDaemon>,
    caller: SoakCaller,
    submissions: SubmissionLog,
    configs: ConfigLog,
    disturbances: DisturbanceLog,
    /// Whether a disruption lasts.
    is_disrupted: bool,
    /// The worker of each loss of power.
    lost_workers: BTreeMap<usize, usize>,
    _store_port: HttpPort,
}

impl SoakScenario {
    pub fn start(seed: u64) -> Self {
        let number = SCENARIOS.fetch_add(1, Ordering::Relaxed);
        let folder = PathBuf::from(format!("{FOLDER}/deployed-soak-{seed}-{number}"));
        // The folder does not exist at the first run.
        let _removed = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder for settings and logs can be created");
        let store = Arc::new(StoreStandin::default());
        let fleet = WorkerFleet::new(WORKERS);
        let service: Arc<dyn HttpService> = store.clone();
        let store_port = open_port(&service);
        let worker = |index: usize| {
            let rack = format!("r1-{}", index / CELL_WORKERS);
            SoakWorker::start(&fleet, index, &store, &rack)
        };
        let workers = (0..WORKERS).map(worker).collect();
        store.put(&SiteBodies::worker_key(ODD_WORKER), &"[".repeat(ODD_DEPTH));
        let configs = ConfigLog::new(seed, DAEMONS);
        let config = SiteBodies::config_version(configs.latest(), 0);
        store.put(SiteBodies::CONFIG_KEY, &config);
        let mut store_links = Vec::new();
        let mut daemons = Vec::new();
        for index in 0..DAEMONS {
            let link = FaultProxy::start(store_port.address());
            let name = format!("entry-{index}");
            let address = daemon_address(seed, index);
            daemons.push(SoakDaemon::start(&folder, &name, address, link.address()));
            store_links.push(link);
        }
        let addresses: Vec<SocketAddr> = daemons.iter().map(SoakDaemon::callers).collect();
        Self {
            seed,
            random: StdRng::seed_from_u64(seed),
            store,
            fleet,
            store_links,
            workers,
            daemons,
            caller: SoakCaller::new(&addresses),
            submissions: SubmissionLog::default(),
            configs,
            disturbances: DisturbanceLog::default(),
            is_disrupted: false,
            lost_workers: BTreeMap::new(),
            _store_port: store_port,
        }
    }

    /// Injects `faults` faults with jobs before each, repairs everything, and checks what
    /// the caller and the workers saw.
    ///
    /// # Panics
    ///
    /// When an accepted job does not complete, a refused or never submitted one ran, a
    /// worker saw a violation, such as a task that runs at two workers, a daemon went back
    /// to an older configuration, or the latest one is not in effect at the end.
    pub fn run(mut self, faults: u32) {
        for _ in 0..faults {
            self.submit_jobs();
            let fault = SoakFault::draw(&mut self.random);
            println!("{fault:?}");
            self.inject(fault);
            self.change_config();
            let interval_ms = self.random.random_range(0..FAULT_INTERVAL_MAX_MS);
            thread::sleep(Duration::from_millis(interval_ms));
        }
        self.repair();
        self.resume_or_restart();
        self.submit_jobs();
        self.check();
    }

    fn submit_jobs(&mut self) {
        for _ in 0..JOBS_PER_FAULT {
            let job = self.draw_job();
            let body = self.draw_body();
            let daemon = self.random.random_range(0..DAEMONS);
            let retries = self.random.random_bool(0.5);
            let mut outcome = self.submit(daemon, &job, &body);
            if outcome != SubmissionOutcome::Accepted && retries {
                let second = self.submit((daemon + 1) % DAEMONS, &job, &body);
                // A refusal says that its own attempt did nothing; the other attempt may have.
                outcome = match (outcome, second) {
                    (_, SubmissionOutcome::Accepted) => SubmissionOutcome::Accepted,
                    (SubmissionOutcome::Refused, second) => second,
                    _ => SubmissionOutcome::Unknown,
                };
            }
            self.submissions.record(&job, outcome);
        }
    }

    /// Submits a job at one daemon, once.
    fn submit_short_job(&mut self) {
        let job = self.draw_job();
        let body = self.draw_body();
        let daemon = self.random.random_range(0..DAEMONS);
        let outcome = self.submit(daemon, &job, &body);
        self.submissions.record(&job, outcome);
    }

    /// The name of a new job.
    fn draw_job(&mut self) -> String {
        let job_number: u64 = self.random.random();
        format!("{job_number:016x}")
    }

    /// The body of a job whose tasks complete.
    fn draw_body(&mut self) -> String {
        let run_ms = self.random.random_range(1..RUN_MAX_MS).to_string();
        SiteBodies::two_steps(&run_ms)
    }

    fn submit(&self, daemon: usize, job: &str, body: &str) -> SubmissionOutcome {
        match self.caller.submit(daemon, job, body) {
            Some(STATUS_OK) => SubmissionOutcome::Accepted,
            Some(STATUS_TOO_MANY_REQUESTS | STATUS_UNAVAILABLE) => SubmissionOutcome::Refused,
            _ => SubmissionOutcome::Unknown,
        }
    }

    /// Lets the operator write versions, and probes each daemon for the latest.
    fn change_config(&mut self) {
        for config in self.configs.draw() {
            self.store.put(SiteBodies::CONFIG_KEY, &config);
        }
        for daemon in 0..DAEMONS {
            self.probe_version(daemon, self.configs.latest());
        }
    }

    /// Whether a daemon serves the queue that only `version` has.
    fn probe_version(&mut self, daemon: usize, version: u64) -> bool {
        match self.caller.probe_version(daemon, version) {
            Some(STATUS_MISSING) => self.configs.check_not_served(daemon, version),
            Some(STATUS_OK) => {
                self.configs.record_served(daemon, version);
                return true;
            }
            _ => {}
        }
        false
    }

    fn inject(&mut self, fault: SoakFault) {
        match fault {
            SoakFault::Kill(index) => self.daemons[index % DAEMONS].signal(Signal::SIGKILL),
            SoakFault::Stop(index) => self.daemons[index % DAEMONS].signal(Signal::SIGTERM),
            SoakFault::Freeze(index) => self.daemons[index % DAEMONS].signal(Signal::SIGSTOP),
            SoakFault::Reload(index) => self.daemons[index % DAEMONS].reload(),
            SoakFault::ResumeOrRestart => self.resume_or_restart(),
            SoakFault::StoreLink(index, mode) => self.store_links[index % DAEMONS].set_mode(mode),
            SoakFault::WorkerLink(index, mode) => self.workers[index % WORKERS].set_link(mode),
            SoakFault::StoreUnavailable => self.store.set_unavailable(true),
            SoakFault::StoreLosesAnswers(count) => self.store.lose_answers(count),
            SoakFault::Repair => self.repair(),
        }
    }

    fn repair(&self) {
        self.store.set_unavailable(false);
        self.store.lose_answers(0);
        for link in &self.store_links {
            link.set_mode(ProxyMode::Forwarding);
        }
        for worker in &self.workers {
            worker.set_link(ProxyMode::Forwarding);
        }
    }

    fn resume_or_restart(&mut self) {
        for daemon in &mut self.daemons {
            daemon.resume_or_restart();
        }
    }
}

/// The loopback address of a daemon: 127.64 to 127.66 by its index, then the lowest two
/// bytes of the seed.
fn daemon_address(seed: u64, index: usize) -> Ipv4Addr {
    let [.., high, low] = seed.to_be_bytes();
    let subnet = FIRST_SUBNET + u8::try_from(index).expect("there are three daemons");
    Ipv4Addr::new(127, subnet, high, low)
}
