//! What all scenes share: a small deployment on loopback addresses.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;

use crate::daemons::Bounds;

use crate::daemons::Daemon;

use crate::daemons::wait_ready;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::End;
use crate::worker::Fleet;

pub const SERVICE: &str = "huvo11a";
pub const ZONES: [&str; 3] = ["ventspils", "liepaja", "saulkrasti"];

/// Result of a scene, as the exit code of its script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CannotRun = 2,
}

pub struct Scene {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub daemons: Vec<Daemon>,
    temporary: PathBuf,
}

/// Size of a scene.
#[derive(Clone, Copy)]
pub struct Size {
    pub daemons: usize,
    pub workers: usize,
    pub cpu: u64,
    pub mem: u64,
    pub bounds: Bounds,
    /// `admission-check` of the service: whether workers refuse what does not fit.
    pub is_guarded: bool,
}

/// A queue of the configuration.
pub struct Queue {
    pub name: &'static str,
    pub prefix: &'static str,
    pub priority: u64,
    pub attempts: u64,
}

pub const DESK: Queue = Queue {
    name: "r-3hwrr6x",
    prefix: "/lohu930/",
    priority: 0,
    attempts: 3,
};
pub const BATCH: Queue = Queue {
    name: "r-73d3zji",
    prefix: "/pufi791/",
    priority: 2,
    attempts: 3,
};

impl Scene {
    /// Starts the store, the workers, the operator's configuration and the daemons.
    pub fn start(folder: &Path, size: Size) -> Option<Self> {
        let record = Arc::new(Record::open(&folder.join("record.txt")).ok()?);
        let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).ok()?;
        let (store, address) = Store::start();
        let fleet = Fleet::start(
            size.workers,
            &ZONES,
            (size.cpu, size.mem),
            SERVICE,
            &store,
            &record,
        );
        fleet.lock().is_unguarded = !size.is_guarded;
        store.put("op/config", &config(size.is_guarded));
        let daemons = (0..size.daemons)
            .map(|index| {
                Daemon::start(
                    &temporary,
                    index,
                    ZONES[index % ZONES.len()],
                    address,
                    size.bounds,
                )
            })
            .collect();
        let scene = Self {
            record,
            store,
            fleet,
            daemons,
            temporary,
        };
        wait_ready(&scene.daemons, &scene.record).then_some(scene)
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.front).collect()
    }

    /// Whether all daemons still run in the lifetime that was started.
    pub fn all_up(&mut self) -> bool {
        self.daemons.iter_mut().all(Daemon::is_up)
    }

    /// Index of the daemon that owns the only cell, by its log: the last that says so.
    pub fn owner(&self) -> Option<usize> {
        let owned = |log: &str| {
            let line = log
                .lines()
                .rev()
                .find(|line| line.contains("loaded the cell and owns it"))?;
            let (_, rest) = line.split_once("\"epoch\":")?;
            rest.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<u64>()
                .ok()
        };
        let epochs = self
            .daemons
            .iter()
            .enumerate()
            .map(|(index, daemon)| (owned(&daemon.log()), index));
        epochs
            .filter(|(epoch, _)| epoch.is_some())
            .max()
            .map(|(_, index)| index)
    }

    /// Lines of the daemons' logs that hold a text.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let logs = self
            .daemons
            .iter()
            .map(|daemon| (daemon.name.clone(), daemon.log()));
        logs.flat_map(|(name, log)| {
            let lines = log.lines().filter(|line| line.contains(text));
            lines
                .map(|line| format!("{name} {line}"))
                .collect::<Vec<_>>()
        })
        .collect()
    }

    /// Starts of tasks after a run of theirs had ended `done`, an end that was taken note of.
    pub fn started_after_done(&self) -> Vec<String> {
        let state = self.fleet.lock();
        let is_done = |end: &&End| end.how == "done" && end.noted.is_some();
        let mut found = Vec::new();
        for end in state.ends.iter().filter(is_done) {
            for start in state
                .starts
                .iter()
                .filter(|start| start.task == end.task && start.at > end.at)
            {
                found.push(format!(
                    "{} run {} starts on {} at {:.3}, after run {} ended done on {} at {:.3}, taken note of at {:.3}",
                    start.task,
                    start.run,
                    start.worker,
                    self.record.seconds(start.at),
                    end.run,
                    end.worker,
                    self.record.seconds(end.at),
                    end.noted.map_or(0.0, |at: Instant| self.record.seconds(at)),
                ));
            }
        }
        found
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        self.record.flush();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.temporary);
        }
    }
}

fn config(is_guarded: bool) -> String {
    let routes = [DESK, BATCH].map(|queue| {
        Json::table(vec![
            ("name", Json::text(queue.name)),
            ("host", Json::text(crate::caller::HOST)),
            ("prefix", Json::text(queue.prefix)),
            ("type", Json::text("unsafe")),
            ("timeout-ms", Json::number(3_000)),
            ("target-duration-ms", Json::number(1_000)),
            ("priority", Json::number(queue.priority)),
            ("backend", Json::text(SERVICE)),
            ("attempts", Json::number(queue.attempts)),
            ("stretch", Json::Number(1.5)),
            ("allowed-regions", Json::List(Vec::new())),
        ])
    });
    let service = Json::table(vec![
        ("name", Json::text(SERVICE)),
        ("health-check", Json::text("/healthz")),
        ("max-connections", Json::number(64)),
        ("protocol", Json::text("h1")),
        ("tls", Json::Bool(false)),
        ("admission-check", Json::Bool(is_guarded)),
        ("standby", Json::Bool(false)),
    ]);
    let limits = Json::table(vec![
        ("max-header-bytes", Json::number(16_384)),
        ("max-body-bytes", Json::number(262_144)),
        ("header-timeout-ms", Json::number(3_000)),
        ("idle-timeout-ms", Json::number(15_000)),
    ]);
    Json::table(vec![
        ("version", Json::number(7)),
        ("routes", Json::List(routes.to_vec())),
        ("backends", Json::List(vec![service])),
        ("limits", limits),
    ])
    .write()
}
