//! The world of one seed.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
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
use sapphirestile_test_support::wait_until;

use crate::job_ledger::JobLedger;
use crate::job_ledger::ToldStanding;
use crate::soak_caller::SoakCaller;
use crate::soak_daemon::SoakDaemon;
use crate::soak_fault::SoakFault;

const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const DAEMONS: usize = 3;
const WORKERS: usize = 4;

/// The second number of the first daemon's address.
const FIRST_NETWORK: u8 = 64;

/// How many jobs are handed in between two faults.
const JOBS_A_FAULT: u32 = 3;

/// How long a fault is left alone at most, in milliseconds.
const PAUSE_MAX_MS: u64 = 1_200;

/// How long tasks run at most, in milliseconds.
const RUN_MAX_MS: u64 = 900;

const STATUS_OK: u16 = 200;
const STATUS_BUSY: u16 = 429;
const STATUS_AWAY: u16 = 503;

/// Daemons, stand-ins and callers of one seed.
pub struct SoakWorld {
    seed: u64,
    random: StdRng,
    store: Arc<StoreStandin>,
    workers: Arc<WorkerFleet>,
    store_links: Vec<FaultProxy>,
    worker_links: Vec<FaultProxy>,
    daemons: Vec<SoakDaemon>,
    caller: SoakCaller,
    ledger: JobLedger,
    _ports: Vec<HttpPort>,
}

impl SoakWorld {
    pub fn start(seed: u64) -> Self {
        let folder = PathBuf::from(format!("{FOLDER}/deployed-soak-{seed}"));
        // There is none at the first run.
        let _removed = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        let store = Arc::new(StoreStandin::default());
        let workers = WorkerFleet::new(WORKERS);
        let service: Arc<dyn HttpService> = store.clone();
        let store_port = open_port(&service);
        let mut ports = Vec::new();
        let mut worker_links = Vec::new();
        for place in 0..WORKERS {
            let service: Arc<dyn HttpService> = Arc::new(workers.worker(place));
            let port = open_port(&service);
            let link = FaultProxy::start(port.address());
            let key = SiteBodies::worker_key(&format!("i-{place}"));
            store.put(&key, &SiteBodies::worker_entry(link.address()));
            worker_links.push(link);
            ports.push(port);
        }
        store.put(SiteBodies::CONFIG_KEY, &SiteBodies::config());
        let mut store_links = Vec::new();
        let mut daemons = Vec::new();
        for place in 0..DAEMONS {
            let link = FaultProxy::start(store_port.address());
            let name = format!("entry-{place}");
            let address = daemon_address(seed, place);
            daemons.push(SoakDaemon::start(&folder, &name, address, link.address()));
            store_links.push(link);
        }
        ports.push(store_port);
        let addresses: Vec<SocketAddr> = daemons.iter().map(SoakDaemon::callers).collect();
        Self {
            seed,
            random: StdRng::seed_from_u64(seed),
            store,
            workers,
            store_links,
            worker_links,
            daemons,
            caller: SoakCaller::new(&addresses),
            ledger: JobLedger::default(),
            _ports: ports,
        }
    }

    /// Plays so many faults, mends all and checks what callers and workers saw.
    pub fn run(mut self, faults: u32) {
        for _ in 0..faults {
            self.hand_in_some();
            let fault = SoakFault::draw(&mut self.random);
            println!("{fault:?}");
            self.bring_about(fault);
            let pause_ms = self.random.random_range(0..PAUSE_MAX_MS);
            thread::sleep(Duration::from_millis(pause_ms));
        }
        self.mend();
        self.revive();
        self.hand_in_some();
        self.check();
    }

    fn hand_in_some(&mut self) {
        for _ in 0..JOBS_A_FAULT {
            let digits: u64 = self.random.random();
            let job = format!("{digits:016x}");
            let run_ms = self.random.random_range(1..RUN_MAX_MS).to_string();
            let body = SiteBodies::two_steps(&run_ms);
            let daemon = self.random.random_range(0..DAEMONS);
            let asks_again = self.random.random_bool(0.5);
            let mut told = self.told(daemon, &job, &body);
            if told != ToldStanding::Accepted && asks_again {
                let second = self.told((daemon + 1) % DAEMONS, &job, &body);
                // A refusal tells of its own call only.
                told = match (told, second) {
                    (_, ToldStanding::Accepted) => ToldStanding::Accepted,
                    (ToldStanding::Refused, second) => second,
                    _ => ToldStanding::Unknown,
                };
            }
            self.ledger.note(&job, told);
        }
    }

    fn told(&self, daemon: usize, job: &str, body: &str) -> ToldStanding {
        match self.caller.hand_in(daemon, job, body) {
            Some(STATUS_OK) => ToldStanding::Accepted,
            Some(STATUS_BUSY | STATUS_AWAY) => ToldStanding::Refused,
            _ => ToldStanding::Unknown,
        }
    }

    fn bring_about(&mut self, fault: SoakFault) {
        match fault {
            SoakFault::Kill(place) => self.daemons[place % DAEMONS].signal(Signal::SIGKILL),
            SoakFault::Stop(place) => self.daemons[place % DAEMONS].signal(Signal::SIGTERM),
            SoakFault::Freeze(place) => self.daemons[place % DAEMONS].signal(Signal::SIGSTOP),
            SoakFault::Reload(place) => self.daemons[place % DAEMONS].reload(),
            SoakFault::Revive => self.revive(),
            SoakFault::StoreLink(place, mode) => self.store_links[place % DAEMONS].set_mode(mode),
            SoakFault::WorkerLink(place, mode) => self.worker_links[place % WORKERS].set_mode(mode),
            SoakFault::StoreAway => self.store.set_unavailable(true),
            SoakFault::StoreLosesAnswers(count) => self.store.lose_answers(count),
            SoakFault::Mend => self.mend(),
        }
    }

    fn mend(&self) {
        self.store.set_unavailable(false);
        self.store.lose_answers(0);
        for link in self.store_links.iter().chain(&self.worker_links) {
            link.set_mode(ProxyMode::Forwarding);
        }
    }

    fn revive(&mut self) {
        for daemon in &mut self.daemons {
            daemon.revive();
        }
    }

    fn check(&mut self) {
        let seed = self.seed;
        let accepted: Vec<String> = self
            .ledger
            .jobs(ToldStanding::Accepted)
            .map(str::to_owned)
            .collect();
        for (place, job) in accepted.iter().enumerate() {
            let what = format!("seed {seed}: accepted job {job} is completed");
            wait_until(&what, || {
                // One that was asked to stop may have ended only now.
                self.revive();
                let (status, text) = self.caller.state(place % DAEMONS, job)?;
                (status == STATUS_OK && text == SiteBodies::state("completed")).then_some(())
            });
        }
        let started = self.workers.started();
        let job_of = |run: &String| run.split('.').next().unwrap_or_default().to_owned();
        for refused in self.ledger.jobs(ToldStanding::Refused) {
            let ran = started.iter().find(|run| job_of(run) == refused);
            assert!(ran.is_none(), "seed {seed}: {ran:?} was refused as not run");
        }
        for run in &started {
            let job = job_of(run);
            assert!(
                self.ledger.is_known(&job),
                "seed {seed}: nobody asked for {run}"
            );
        }
        let violations = self.workers.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        println!(
            "seed {seed}: {} jobs accepted, {} runs",
            accepted.len(),
            started.len()
        );
    }
}

/// A loopback address of a daemon's own: 127.64 to 127.66, then the seed.
fn daemon_address(seed: u64, place: usize) -> Ipv4Addr {
    let [.., high, low] = seed.to_be_bytes();
    let network = FIRST_NETWORK + u8::try_from(place).expect("daemons are few");
    Ipv4Addr::new(127, network, high, low)
}
