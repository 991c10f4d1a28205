//! A deployed daemon as a process beside a stand-in of the store.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;

use sapphirestile_platform_standins::SiteBodies;
use sapphirestile_platform_standins::StoreStandin;
use sapphirestile_platform_standins::free_address;
use sapphirestile_platform_standins::open_port;
use sapphirestile_serving::HttpPort;
use sapphirestile_serving::HttpService;
use sapphirestile_test_support::call;
use sapphirestile_test_support::wait_until;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const SETTINGS_VARIABLE: &str = "SAPPHIRESTILE_SETTINGS";

/// How often a start is tried: another process may take a port that was free.
const STARTS_MAX: u32 = 5;

/// A job that each check submits again.
const JOB_PATH: &str = "/charts/00000000000000bb";

/// A deployed daemon without workers.
pub struct DeployedProcess {
    child: Child,
    log: PathBuf,
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    _store: HttpPort,
}

impl DeployedProcess {
    /// Starts the daemon and waits until it accepts a job. `name` names the folder of its
    /// settings and log.
    pub fn start(name: &str) -> Self {
        let folder = PathBuf::from(format!("{FOLDER}/ports_deployed_{name}"));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let store = Arc::new(StoreStandin::default());
        store.put(SiteBodies::CONFIG_KEY, &SiteBodies::config_version(1, 0));
        let service: Arc<dyn HttpService> = store;
        let store = open_port(&service);
        let settings = folder.join("entry-0.ini");
        let log = folder.join("entry-0.log");
        for _ in 0..STARTS_MAX {
            let [callers, ready, metrics] = [(); 3].map(|()| free_address(Ipv4Addr::LOCALHOST));
            let text = format!(
                "[node]\nname = entry-0\nzone = near-a\norders = call\n\
                 [ports]\ncallers = {callers}\nready = {ready}\nmetrics = {metrics}\n\
                 [targets]\nstore = {}\n\
                 [bounds]\nlease_max_ms = 6000\nremember_s = 300\ngrace_s = 4\n",
                store.address()
            );
            std::fs::write(&settings, text).expect("the settings file can be written");
            let mut child = spawn(&settings, &log);
            if is_listening(&mut child, metrics) {
                let mut daemon = Self {
                    child,
                    log,
                    callers,
                    ready,
                    metrics,
                    _store: store,
                };
                daemon.assert_serves();
                return daemon;
            }
        }
        panic!("the daemon did not start {STARTS_MAX} times");
    }

    /// The ports of callers, readiness and metrics.
    pub const fn ports(&self) -> [SocketAddr; 3] {
        [self.callers, self.ready, self.metrics]
    }

    /// Checks that the same process answers on each port.
    pub fn assert_serves(&mut self) {
        let headers = [("host", "desk.example")];
        let body = SiteBodies::two_steps("100");
        wait_until("the daemon accepts a job", || {
            assert_eq!(has_ended(&mut self.child), None, "the daemon has ended");
            let answer = call(self.callers, "POST", JOB_PATH, &headers, body.as_bytes());
            answer.filter(|answer| answer.status == 200)
        });
        wait_until("the readiness port answers", || {
            call(self.ready, "GET", "/", &[], b"")
        });
        assert!(self.metrics_text().contains("sapphirestile_answers_total"));
    }

    pub fn metrics_text(&self) -> String {
        let answer = wait_until("the metrics port answers", || {
            call(self.metrics, "GET", "/metrics", &[], b"")
        });
        String::from_utf8(answer.body).expect("metrics are UTF-8")
    }

    /// The number of lines in the log that contain `message`.
    pub fn count_log_lines(&self, message: &str) -> usize {
        let log = std::fs::read_to_string(&self.log).expect("the log can be read");
        log.lines().filter(|line| line.contains(message)).count()
    }
}

impl Drop for DeployedProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = File::create(log).expect("the log file can be created");
    let errors = log.try_clone().expect("the handle can be duplicated");
    Command::new(DAEMON)
        .arg("--deployed")
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the daemon process can be started")
}

/// Waits until the port that is opened last accepts connections; false when the process
/// ended before.
fn is_listening(child: &mut Child, address: SocketAddr) -> bool {
    wait_until("the daemon listens or ends", || {
        if has_ended(child).is_some() {
            return Some(false);
        }
        TcpStream::connect(address).is_ok().then_some(true)
    })
}

fn has_ended(child: &mut Child) -> Option<String> {
    let status = child.try_wait().expect("the status can be read");
    status.map(|status| status.to_string())
}
