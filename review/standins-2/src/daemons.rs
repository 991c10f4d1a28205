//! Daemons as separate processes, started with the command of the deploy file.

use std::fs;

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::call;
use crate::record::Record;

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    process: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

/// Figures of the settings file that scenes choose.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub remember_s: u64,
    pub cpu_share: f64,
}

impl Daemon {
    /// Writes the settings of a daemon, as `deploy/settings.ini` fills them, and starts it.
    pub fn start(
        folder: &Path,
        index: usize,
        zone: &str,
        store: SocketAddr,
        bounds: Bounds,
    ) -> Self {
        let [front, ready, metrics] = free_ports();
        let name = format!("front-{zone}-{}", index + 1);
        let settings = folder.join(format!("{name}.ini"));
        let text = format!(
            "[node]\nname = {name}\nzone = {zone}\ncpu_share = {}\norders = call\n\n\
             [ports]\ncallers = {front}\nready = {ready}\nmetrics = {metrics}\n\n\
             [targets]\nstore = {store}\n\n\
             [bounds]\nlease_max_ms = {}\nremember_s = {}\ngrace_s = 6\n",
            bounds.cpu_share,
            crate::worker::LEASE_MAX_MS,
            bounds.remember_s,
        );
        fs::write(&settings, text).expect("cannot write the settings");
        let log = folder.join(format!("{name}.log"));
        let mut daemon = Self {
            name,
            front,
            ready,
            process: None,
            settings,
            log,
        };
        daemon.spawn();
        daemon
    }

    fn spawn(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("cannot open the log");
        let errors = log.try_clone().expect("cannot open the log");
        let process = Command::new("target/release/sapphirestiled")
            .arg("--deployed")
            .env("SAPPHIRESTILE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("cannot start a daemon");
        self.process = Some(process);
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET",
            "/-/ready",
            &[],
            "",
            Duration::from_millis(500),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Whether the process still runs.
    pub fn is_up(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(process) = &self.process {
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(process.id().to_string())
                .status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn restart(&mut self) {
        self.kill();
        self.spawn();
    }

    /// The log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all daemons are ready.
pub fn wait_ready(daemons: &[Daemon], record: &Record) -> bool {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        if daemons.iter().all(Daemon::is_ready) {
            record.write("all daemons are ready");
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.say("cannot run: the daemons are not ready");
    false
}

/// Free ports of a loopback address of this process's own: scenes that run at the same time
/// do not take each other's.
fn free_ports() -> [SocketAddr; 3] {
    let process = std::process::id();
    let address = format!("127.{}.{}.1:0", 1 + process % 250, process / 250 % 250);
    let bind = |_| TcpListener::bind(&address).expect("no free port");
    let listeners: Vec<TcpListener> = (0..3).map(bind).collect();
    let address = |index: usize| listeners[index].local_addr().expect("no address");
    [address(0), address(1), address(2)]
}
