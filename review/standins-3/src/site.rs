//! A small deployment: a store, workers, and three daemons.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use oxhttp::model::Body;
use oxhttp::model::Request;
use sapphirestile_platform_standins::SiteBodies;
use sapphirestile_platform_standins::StoreStandin;
use sapphirestile_platform_standins::WorkerFleet;
use sapphirestile_platform_standins::free_address;
use sapphirestile_platform_standins::open_port;
use sapphirestile_serving::HttpPort;
use sapphirestile_serving::HttpReply;
use sapphirestile_serving::HttpService;

use crate::caller;
use crate::channel_proxy::ChannelProxy;
use crate::daemon::Daemon;
use crate::record::Record;

pub const HOST: &str = "desk.example";

const DAEMONS: u8 = 3;
/// The runners of a deployment whose scene names no other number.
const RUNNERS: usize = 2;

/// The channels that a runner has, as the pages say.
const RUNNER_CHANNELS_MAX: usize = 64;

/// How long the store takes for an answer, as the pages say.
const STORE_ANSWER: Duration = Duration::from_millis(4);

/// How long the start may take.
const START_MAX: Duration = Duration::from_secs(20);

/// The time of a request and its answer between two regions, as the pages say: 8 ms one way.
const RUNNER_ROUND_TRIP: Duration = Duration::from_millis(16);

/// A service whose answers take some time.
struct TimedService {
    service: Arc<dyn HttpService>,
    time: Duration,
}

impl TimedService {
    fn shared(service: Arc<dyn HttpService>, time: Duration) -> Arc<dyn HttpService> {
        Arc::new(Self { service, time })
    }
}

impl HttpService for TimedService {
    fn answer(&self, request: &mut Request<Body>) -> HttpReply {
        thread::sleep(self.time);
        self.service.answer(request)
    }

    fn refuse(&self) -> HttpReply {
        self.service.refuse()
    }
}

pub struct Site {
    pub daemons: Vec<Daemon>,
    pub store: Arc<StoreStandin>,
    pub workers: Arc<WorkerFleet>,
    /// The way of each daemon to the store.
    pub store_ways: Vec<ChannelProxy>,
    /// The way of all daemons to each worker.
    pub worker_ways: Vec<ChannelProxy>,
    _ports: Vec<HttpPort>,
    folder: PathBuf,
}

impl Site {
    /// Starts the deployment and waits until each daemon is ready and has served a job.
    pub fn start(scene: &str, record: &Record) -> Option<Self> {
        Self::start_with(scene, record, &SiteBodies::config_version(3, 0), RUNNERS)
    }

    /// The same with a configuration and a number of runners.
    pub fn start_with(scene: &str, record: &Record, config: &str, runners: usize) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-{scene}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let store = Arc::new(StoreStandin::default());
        let workers = WorkerFleet::new(runners);
        let service = TimedService::shared(Arc::clone(&store) as _, STORE_ANSWER);
        let store_port = open_port(&service);
        let store_address = store_port.address();
        let mut ports = vec![store_port];
        let mut worker_ways = Vec::new();
        for index in 0..runners {
            let service = TimedService::shared(Arc::new(workers.worker(index)), RUNNER_ROUND_TRIP);
            let port = open_port(&service);
            let way = ChannelProxy::start_with_limit(port.address(), RUNNER_CHANNELS_MAX);
            let key = SiteBodies::worker_key(&format!("i-{index}"));
            store.put(&key, &SiteBodies::worker_entry(way.address()));
            ports.push(port);
            worker_ways.push(way);
        }
        store.put(SiteBodies::CONFIG_KEY, config);
        let mut site = Self {
            daemons: Vec::new(),
            store,
            workers,
            store_ways: Vec::new(),
            worker_ways,
            _ports: ports,
            folder,
        };
        for number in 0..DAEMONS {
            let way = ChannelProxy::start(store_address);
            let host = daemon_host(number);
            let addresses = [(); 3].map(|()| free_address(host));
            let name = format!("front-near-a-{}", number + 1);
            let daemon = site.start_daemon(&name, addresses, way.address())?;
            site.daemons.push(daemon);
            site.store_ways.push(way);
        }
        site.wait_until_served(record).then_some(site)
    }

    fn start_daemon(
        &self,
        name: &str,
        addresses: [SocketAddr; 3],
        store: SocketAddr,
    ) -> Option<Daemon> {
        Daemon::start(Path::new(&self.folder), name, "near-a", addresses, store).ok()
    }

    fn wait_until_served(&self, record: &Record) -> bool {
        let end = Instant::now() + START_MAX;
        for (index, daemon) in self.daemons.iter().enumerate() {
            while caller::send(daemon.ready, "GET", "/-/ready", "").is_none_or(|it| it.0 != 200) {
                if Instant::now() > end {
                    record.line(&format!("{} is not ready", daemon.name));
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
            let job = format!("/charts/00000000000000a{index}");
            let body = SiteBodies::two_steps("30");
            let answer = caller::send(daemon.callers, "POST", &job, &body);
            record.line(&format!(
                "{} POST {job}: {}",
                daemon.name,
                caller::shown(&answer)
            ));
            while !self.state(index, &job).contains("completed") {
                if Instant::now() > end {
                    record.line(&format!("{job} did not complete"));
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        record.line("each daemon is ready and has served a job");
        true
    }

    /// What a daemon says of a job.
    pub fn state(&self, daemon: usize, job: &str) -> String {
        let answer = caller::send(self.daemons[daemon].callers, "GET", job, "");
        caller::shown(&answer)
    }
}

/// A loopback address of a daemon that no other scene uses at the same time.
fn daemon_host(number: u8) -> Ipv4Addr {
    let [.., third, fourth] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 20 + number, third, fourth.clamp(1, 254))
}

impl Drop for Site {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}
