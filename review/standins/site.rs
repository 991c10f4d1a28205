//! A small deployment: the store, runners, and daemons as separate processes.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::runners::Runners;
use crate::store::Store;
use crate::store::StorePort;

pub const HOST: &str = "desk.example";
/// The prefix of the only queue.
pub const PREFIX: &str = "/charts/";
/// How often a runner writes its entry (`heartbeat-ms`).
const BEAT: Duration = Duration::from_millis(1_500);

struct Daemon {
    front: SocketAddr,
    ready: SocketAddr,
    store: SocketAddr,
    metrics: SocketAddr,
    child: Option<Child>,
}

/// A small deployment. All processes that it started end with it.
pub struct Site {
    pub store: Arc<Store>,
    pub runners: Arc<Runners>,
    daemons: Vec<Daemon>,
    folder: PathBuf,
    is_over: Arc<AtomicBool>,
}

impl Site {
    /// Opens a store and runners, starts daemons, and waits until they are ready and hold the
    /// runners. `None` when that takes over 20 s.
    pub fn start(daemons: usize, racks: &[&str]) -> Option<Self> {
        let store = Arc::new(Store::default());
        let runners = Runners::open(Instant::now(), racks);
        let folder =
            std::env::temp_dir().join(format!("sapphirestile-review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut site = Self {
            store,
            runners,
            daemons: Vec::new(),
            folder,
            is_over: Arc::default(),
        };
        site.store.put("op/config", &config());
        site.beat();
        for index in 0..daemons {
            let (listener, address) = http::bind();
            let port = StorePort {
                store: Arc::clone(&site.store),
                daemon: index,
            };
            http::serve(listener, Arc::new(port));
            site.daemons.push(Daemon {
                front: http::free_address(),
                ready: http::free_address(),
                store: address,
                metrics: http::free_address(),
                child: None,
            });
            site.start_daemon(index);
        }
        let is_up = site.wait(Duration::from_secs(20), |site| {
            (0..daemons).all(|index| site.is_ready(index)) && site.runners.are_held(2)
        });
        is_up.then_some(site)
    }

    /// Writes the entries of the runners every heartbeat.
    fn beat(&self) {
        let (store, runners, is_over) = (
            self.store.clone(),
            self.runners.clone(),
            self.is_over.clone(),
        );
        let seq = AtomicU64::new(1);
        thread::spawn(move || {
            while !is_over.load(Ordering::Acquire) {
                for (key, value) in runners.entries(seq.fetch_add(1, Ordering::AcqRel)) {
                    store.put(&key, &value);
                }
                thread::sleep(BEAT);
            }
        });
    }

    /// Starts a daemon with the command of the deploy file.
    pub fn start_daemon(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let settings = format!(
            "[node]\nname = front-near-a-{index}\nzone = near-a\ncpu_share = 0.25\norders = call\n\n\
             [ports]\ncallers = {}\nready = {}\nmetrics = {}\n\n[targets]\nstore = {}\n\n\
             [bounds]\nlease_max_ms = 10000\nremember_s = 120\ngrace_s = 6\n",
            daemon.front, daemon.ready, daemon.metrics, daemon.store
        );
        let path = self.folder.join(format!("settings-{index}.ini"));
        fs::write(&path, settings).expect("write the settings");
        let log = self.folder.join(format!("log-{index}.txt"));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("open the log");
        let mut command = Command::new("target/release/sapphirestiled");
        command
            .arg("--deployed")
            .env_clear()
            .env("SAPPHIRESTILE_SETTINGS", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let errors = log.try_clone().expect("the log");
        let child = command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        daemon.child = Some(child.expect("start the daemon"));
        self.runners.note(format!("daemon {index} starts"));
    }

    /// Kills a daemon with SIGKILL.
    pub fn kill_daemon(&mut self, index: usize) {
        if let Some(mut child) = self.daemons[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.runners
                .note(format!("daemon {index} is killed (SIGKILL)"));
        }
    }

    /// The daemons that ended by themselves, with how they ended.
    pub fn ended_daemons(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            if let Some(child) = &mut daemon.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("daemon {index} ended by itself: {status}"));
            }
        }
        ended
    }

    fn is_ready(&self, index: usize) -> bool {
        let address = self.daemons[index].ready;
        let answer = http::call(
            address,
            "GET",
            "/-/ready",
            "ready",
            "",
            Duration::from_millis(500),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Sends a client's request to a daemon, and records both.
    pub fn call(
        &self,
        daemon: usize,
        method: &str,
        job: &str,
        body: &str,
        wait_ms: u64,
    ) -> Option<(u16, String)> {
        let wait = Duration::from_millis(wait_ms);
        let path = format!("{PREFIX}{job}");
        let answer = http::call(self.daemons[daemon].front, method, &path, HOST, body, wait);
        let shown = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {}", body.chars().take(80).collect::<String>())
            });
        let body: String = body.chars().take(160).collect();
        self.runners.note(format!(
            "client: {method} {path} {body} at daemon {daemon} -> {shown}"
        ));
        answer
    }

    /// Hands in a submission until it is accepted; false if it is not within 10 s.
    pub fn submit(&self, daemon: usize, job: &str, body: &str) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self
                .call(daemon, "POST", job, body, 3_000)
                .is_some_and(|(status, _)| status == 200)
            {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// The state of a submission; empty when there is no answer.
    pub fn state(&self, daemon: usize, job: &str) -> String {
        let path = format!("{PREFIX}{job}");
        let wait = Duration::from_millis(3_000);
        match http::call(self.daemons[daemon].front, "GET", &path, HOST, "", wait) {
            Some((200, body)) => body.split('"').nth(3).unwrap_or("").to_owned(),
            Some((status, _)) => status.to_string(),
            None => String::new(),
        }
    }

    /// Waits until a submission has the state; false after `wait`.
    pub fn wait_for_state(&self, daemon: usize, job: &str, state: &str, wait: Duration) -> bool {
        let mut last = String::new();
        let has_state = self.wait(wait, |site| {
            last = site.state(daemon, job);
            last == state
        });
        self.runners
            .note(format!("client: GET {PREFIX}{job} -> {last}"));
        has_state
    }

    /// Checks a condition every 10 ms until it holds; false after `wait`.
    pub fn wait(&self, wait: Duration, mut holds: impl FnMut(&Self) -> bool) -> bool {
        let end = Instant::now() + wait;
        loop {
            if holds(self) {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Release);
        for daemon in &mut self.daemons {
            if let Some(child) = &mut daemon.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"charts\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\
         \"backend\":\"sizing\",\"priority\":0,\"attempts\":3,\"stretch\":2.0,\"target-duration-ms\":1000,\
         \"type\":\"unsafe\",\"timeout-ms\":3000}}],\
         \"backends\":[{{\"name\":\"sizing\",\"admission-check\":true}}],\
         \"limits\":{{\"max-body-bytes\":262144}}}}"
    )
}
