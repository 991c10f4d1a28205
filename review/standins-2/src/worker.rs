//! Stand-ins for workers, after the pages' section on running tasks. All workers of a scene
//! share one lock and one record of what they were told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Reply;

use crate::http::Request;

use crate::http::serve;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

const ENDS_PER_ANSWER: usize = 500;
/// Workers that a scene may have join later.
const LATER_MAX: usize = 2;
/// How long a worker that is not there keeps a connection open without an answer.
const SILENCE: Duration = Duration::from_secs(60);
/// `heartbeat-ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// `hold-max-ms` of the settings.
pub const LEASE_MAX_MS: u64 = 10_000;
/// How long a run takes to fail at a worker that fails all that it starts.
const FAILS_AFTER: Duration = Duration::from_millis(40);

/// What a task needs and does, by its submission and step.
#[derive(Clone, Copy, Default)]
pub struct TaskPlan {
    pub cpu: u64,
    pub mem: u64,
    /// `None` for a task that lasts.
    pub run_ms: Option<u64>,
    /// Whether its cpu is not counted.
    pub fills: bool,
    /// The number of members, for a task of a gang: each works from when all are there.
    pub gang: Option<u64>,
    /// The tail that a serving task reports, in milliseconds.
    pub tail_ms: Option<u64>,
}

struct Run {
    number: u64,
    done_at: Option<Instant>,
    plan: TaskPlan,
    percent: u64,
    /// When a stop takes effect, once one was ordered.
    stops_at: Option<Instant>,
    /// When it fails through the worker's fault.
    fails_at: Option<Instant>,
}

/// How a worker treats starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Sound,
    /// Unhealthy: answers starts with 503 and does nothing.
    Busy,
    /// Fails all that it starts.
    Failing,
}

pub struct WorkerState {
    pub id: String,
    pub zone: String,
    pub rack: String,
    /// Its kind, a label.
    pub kind: &'static str,
    pub address: SocketAddr,
    pub health: Health,
    /// How many times as long a task takes.
    pub slowness: f64,
    /// Whether it has joined and is not lost: otherwise it sends and answers nothing.
    pub is_there: bool,
    /// When it was lost.
    pub lost_at: Option<Instant>,
    born_ms: u64,
    born: Instant,
    clock_start_ms: u64,
    token: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Run>,
    highest: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    cpu: u64,
    mem: u64,
}

#[derive(Default)]
pub struct FleetState {
    pub workers: Vec<WorkerState>,
    /// By submission and step.
    pub plans: BTreeMap<(String, usize), TaskPlan>,
    /// All starts: task, run, worker, and when.
    pub starts: Vec<Start>,
    /// All ends, with when they were taken note of.
    pub ends: Vec<End>,
    /// Whether the workers start whatever they are told to, beyond their capacity too.
    pub is_unguarded: bool,
    /// How long a stop takes, at most `stop-timeout-ms`.
    pub stop: Duration,
    /// Starts that brought a worker over its capacity.
    pub over: Vec<String>,
}

#[derive(Clone)]
pub struct Start {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub at: Instant,
}

#[derive(Clone)]
pub struct End {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub how: &'static str,
    pub at: Instant,
    pub noted: Option<Instant>,
    number: u64,
}

pub struct Fleet {
    pub state: Mutex<FleetState>,
    changed: Condvar,
    pub record: Arc<Record>,
    service: String,
}

impl Fleet {
    /// Starts `count` workers in racks of eight over the zones, which write their entries.
    pub fn start(
        count: usize,
        zones: &[&str],
        (cpu, mem): (u64, u64),
        service: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let fleet = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            record: Arc::clone(record),
            service: service.to_owned(),
        });
        for index in 0..count + LATER_MAX {
            let served = Arc::clone(&fleet);
            let address = serve(Arc::new(move |request| served.answer(index, request)));
            let zone = zones[index % zones.len()];
            let born_ms = unix_ms();
            fleet.lock().workers.push(WorkerState {
                id: format!("i-{:010x}", 0x7f3a_91c2u64 * (index as u64 + 3)),
                zone: zone.to_owned(),
                rack: format!(
                    "r{}-{}",
                    index % zones.len() + 1,
                    index / zones.len() / 8 + 1
                ),
                kind: if index < count { "a" } else { "b" },
                address,
                health: Health::Sound,
                slowness: 1.0,
                is_there: index < count,
                lost_at: None,
                born_ms,
                born: Instant::now(),
                clock_start_ms: 1_000 + 77 * index as u64,
                token: 0,
                lease_end_ms: 0,
                running: BTreeMap::new(),
                highest: BTreeMap::new(),
                ended: Vec::new(),
                ends: 0,
                cpu,
                mem,
            });
        }
        let (beating, store) = (Arc::clone(&fleet), Arc::clone(store));
        thread::spawn(move || {
            for seq in 1u64.. {
                for index in 0..count + LATER_MAX {
                    let (is_there, lost_at) = {
                        let state = beating.lock();
                        (state.workers[index].is_there, state.workers[index].lost_at)
                    };
                    let (key, entry) = beating.entry(index, seq);
                    if is_there {
                        store.put(&key, &entry);
                    } else if lost_at.is_some_and(|at| at.elapsed() > HEARTBEAT * 3) {
                        store.remove(&key);
                    }
                }
                thread::sleep(HEARTBEAT);
            }
        });
        let advancing = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                advancing.advance();
            }
        });
        fleet
    }

    pub fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Has the workers join that are kept for later.
    pub fn join_later(&self) {
        let mut state = self.lock();
        let first = state.workers.len() - LATER_MAX;
        for worker in &mut state.workers[first..] {
            worker.is_there = true;
            worker.born_ms = unix_ms();
            worker.born = Instant::now();
            self.record.write(&format!("{} joins", worker.id));
        }
    }

    /// Loses a worker for good.
    pub fn lose(&self, id: &str) -> Instant {
        let mut state = self.lock();
        let now = Instant::now();
        for worker in state.workers.iter_mut().filter(|worker| worker.id == id) {
            worker.is_there = false;
            worker.lost_at = Some(now);
            worker.running.clear();
        }
        self.record.write(&format!("{id} is lost for good"));
        now
    }

    /// Says what the tasks of a step of a submission need and do.
    pub fn plan(&self, job: &str, step: usize, plan: TaskPlan) {
        self.lock().plans.insert((job.to_owned(), step), plan);
    }

    fn entry(&self, index: usize, seq: u64) -> (String, String) {
        let state = self.lock();
        let worker = &state.workers[index];
        let capacity = Json::table(vec![
            ("cpu", Json::number(worker.cpu)),
            ("mem-mb", Json::number(worker.mem)),
            ("gpu", Json::number(0)),
        ]);
        let labels = Json::List(vec![Json::text(worker.kind), Json::text(&worker.rack)]);
        let entry = Json::table(vec![
            ("backend", Json::text(&self.service)),
            ("address", Json::text(&worker.address.to_string())),
            ("zone", Json::text(&worker.zone)),
            ("version", Json::text("v1")),
            ("slots", Json::number(8)),
            ("state", Json::text("ready")),
            ("cold-remaining-ms", Json::number(0)),
            ("capacity", capacity),
            ("labels", labels),
            ("clock-ms", Json::number(worker.clock_ms())),
            ("born", Json::number(worker.born_ms)),
            ("seq", Json::number(seq)),
        ]);
        (format!("servers/{}", worker.id), entry.write())
    }

    fn advance(&self) {
        let mut state = self.lock();
        let mut ends = Vec::new();
        for worker in state.workers.iter_mut().filter(|worker| worker.is_there) {
            let now = Instant::now();
            let clock_ms = worker.clock_ms();
            let over: Vec<(String, &'static str)> = worker
                .running
                .iter()
                .filter_map(|(task, run)| {
                    if run.fails_at.is_some_and(|at| at <= now) {
                        Some((task.clone(), "failed"))
                    } else if run.done_at.is_some_and(|at| at <= now) {
                        Some((task.clone(), "done"))
                    } else if run.stops_at.is_some_and(|at| at <= now) {
                        Some((task.clone(), "stopped"))
                    } else if worker.lease_end_ms <= clock_ms {
                        Some((task.clone(), "lapsed"))
                    } else {
                        None
                    }
                })
                .collect();
            for (task, how) in over {
                ends.extend(worker.end(&task, how));
            }
        }
        ends.extend(state.advance_gangs());
        if !ends.is_empty() {
            for end in ends {
                self.note_end(&mut state, end);
            }
            self.changed.notify_all();
        }
    }

    fn note_end(&self, state: &mut FleetState, end: End) {
        self.record.write(&format!(
            "{} run {} on {} ended {}",
            end.task, end.run, end.worker, end.how
        ));
        state.ends.push(end);
    }

    fn answer(&self, index: usize, request: &Request) -> Reply {
        let Some(body) = Json::read(&request.body) else {
            return Reply::of(400, "{}".to_owned());
        };
        let mut state = self.lock();
        let stop = state.stop;
        if !state.workers[index].is_there {
            drop(state);
            thread::sleep(SILENCE);
            return Reply::of(503, "{}".to_owned());
        }
        let worker = &mut state.workers[index];
        let expected = request.header("sapphirestile-expect-instance");
        if !expected.is_empty() && expected != worker.id {
            return Reply::of(421, "{}".to_owned());
        }
        let token = body.get("fencing-token").as_u64().unwrap_or(0);
        if token < worker.token {
            return worker.refuse("fence");
        }
        worker.token = token;
        match request.path.as_str() {
            "/-/run-start" => self.start_run(state, index, &body),
            "/-/run-stop" => {
                let (task, number) = task_and_run(&body);
                let highest = worker.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(number);
                let running = worker
                    .running
                    .get_mut(&task)
                    .filter(|run| run.number <= number);
                if let Some(run) = running.filter(|run| run.stops_at.is_none()) {
                    run.stops_at = Some(Instant::now() + stop);
                    self.record.write(&format!(
                        "{task} run {} on {} is told to stop",
                        run.number, worker.id
                    ));
                }
                worker.accept(Vec::new())
            }
            "/-/pace" => {
                let (task, number) = task_and_run(&body);
                if let Some(run) = worker
                    .running
                    .get_mut(&task)
                    .filter(|run| run.number == number)
                {
                    run.percent = body.get("percent").as_u64().unwrap_or(100);
                }
                worker.accept(Vec::new())
            }
            "/-/hold" => self.hold(state, index, &body),
            _ => Reply::of(404, "{}".to_owned()),
        }
    }

    fn start_run(&self, mut state: MutexGuard<'_, FleetState>, index: usize, body: &Json) -> Reply {
        let (task, number) = task_and_run(body);
        let parts: Vec<&str> = task.split('.').collect();
        let step = parts.get(2).and_then(|step| step.parse().ok()).unwrap_or(0);
        let plan = state.plans.get(&(parts[0].to_owned(), step)).copied();
        let is_unguarded = state.is_unguarded;
        let worker = &mut state.workers[index];
        if worker.health == Health::Busy {
            self.record.write(&format!(
                "{task} run {number} on {} is answered 503: unhealthy",
                worker.id
            ));
            return Reply::of(503, "{}".to_owned());
        }
        let lease_end_ms = body.get("deadline-ms").as_u64().unwrap_or(0);
        let clock_ms = worker.clock_ms();
        worker.extend(lease_end_ms);
        if worker
            .running
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return worker.accept(Vec::new());
        }
        if worker.running.contains_key(&task)
            || worker
                .highest
                .get(&task)
                .is_some_and(|highest| number <= *highest)
        {
            return worker.refuse("old");
        }
        if lease_end_ms <= clock_ms {
            return worker.refuse("late");
        }
        let Some(plan) = plan else {
            return Reply::of(400, "{}".to_owned());
        };
        let used = worker.running.values().fold((0, 0), |(cpu, mem), run| {
            (
                cpu + if run.plan.fills { 0 } else { run.plan.cpu },
                mem + run.plan.mem,
            )
        });
        let cpu = if plan.fills { 0 } else { plan.cpu };
        let is_over = used.0 + cpu > worker.cpu || used.1 + plan.mem > worker.mem;
        if is_over && !is_unguarded {
            return worker.refuse("room");
        }
        let over = is_over.then(|| {
            let running: Vec<String> = worker
                .running
                .iter()
                .map(|(task, run)| {
                    let ending = if run.stops_at.is_some() {
                        ", being stopped"
                    } else {
                        ""
                    };
                    format!("{task} run {} of {} cpu{ending}", run.number, run.plan.cpu)
                })
                .collect();
            format!(
                "{task} run {number} of {cpu} cpu starts on {} of {} cpu beside {} cpu: {}",
                worker.id,
                worker.cpu,
                used.0,
                running.join("; ")
            )
        });
        let now = Instant::now();
        let slowness = worker.slowness;
        let done_at = plan
            .run_ms
            .map(|ms| now + Duration::from_millis(ms).mul_f64(slowness));
        let done_at = done_at.filter(|_| plan.gang.is_none());
        let fails_at = (worker.health == Health::Failing).then(|| now + FAILS_AFTER);
        let run = Run {
            number,
            done_at,
            plan,
            percent: 100,
            stops_at: None,
            fails_at,
        };
        worker.running.insert(task.clone(), run);
        let start = Start {
            task,
            run: number,
            worker: worker.id.clone(),
            at: now,
        };
        let reply = worker.accept(Vec::new());
        self.record.write(&format!(
            "{} run {} starts on {}",
            start.task, start.run, start.worker
        ));
        state.starts.push(start);
        state.over.extend(over);
        reply
    }

    fn hold(&self, mut state: MutexGuard<'_, FleetState>, index: usize, body: &Json) -> Reply {
        let worker = &mut state.workers[index];
        if let Some(end_ms) = body.get("deadline-ms").as_u64() {
            worker.extend(end_ms);
        }
        let seen = body.get("seen-upto").as_u64().unwrap_or(0);
        worker.ended.retain(|(number, ..)| *number > seen);
        let (id, now) = (worker.id.clone(), Instant::now());
        for end in state.ends.iter_mut().rev().take(5_000) {
            if end.worker == id && end.number <= seen && end.noted.is_none() {
                end.noted = Some(now);
            }
        }
        let until = now + Duration::from_millis(body.get("wait-ms").as_u64().unwrap_or(0));
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.workers[index].ended.is_empty() || left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
        let worker = &state.workers[index];
        let running = worker.running.iter().map(|(task, run)| {
            let figure = run.plan.tail_ms.unwrap_or(run.plan.cpu * run.percent / 100);
            Json::List(vec![
                Json::text(task),
                Json::number(run.number),
                Json::text(""),
                Json::number(run.percent),
                Json::number(figure),
            ])
        });
        let ended = worker
            .ended
            .iter()
            .take(ENDS_PER_ANSWER)
            .map(|(number, task, run, how)| {
                Json::List(vec![
                    Json::number(*number),
                    Json::text(task),
                    Json::number(*run),
                    Json::text(how),
                    Json::text(""),
                ])
            });
        worker.accept(vec![
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ])
    }
}

impl FleetState {
    /// Lets gangs work from when all their members are there, and breaks those of which a
    /// member has ended otherwise than `done`.
    fn advance_gangs(&mut self) -> Vec<End> {
        let now = Instant::now();
        let mut present: BTreeMap<(String, u64), u64> = BTreeMap::new();
        for worker in &self.workers {
            for (task, run) in worker
                .running
                .iter()
                .filter(|(_, run)| run.plan.gang.is_some())
            {
                *present.entry((step_of(task), run.number)).or_default() += 1;
            }
        }
        let mut broken = Vec::new();
        for ((step, number), count) in present {
            let is_over =
                self.ends.iter().rev().take(1_000).any(|end| {
                    end.run == number && end.how != "done" && step_of(&end.task) == step
                });
            for (index, worker) in self.workers.iter_mut().enumerate() {
                for (task, run) in &mut worker.running {
                    if step_of(task) != step || run.number != number {
                        continue;
                    }
                    if is_over {
                        broken.push((index, task.clone()));
                    } else if run.done_at.is_none()
                        && Some(count) == run.plan.gang
                        && run.fails_at.is_none()
                    {
                        run.done_at = run.plan.run_ms.map(|ms| now + Duration::from_millis(ms));
                    }
                }
            }
        }
        let ends = broken
            .into_iter()
            .filter_map(|(index, task)| self.workers[index].end(&task, "broken"));
        ends.collect()
    }
}

/// Submission, occurrence and step of a task.
fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(task, |(step, _)| step)
        .to_owned()
}

impl WorkerState {
    pub fn clock_ms(&self) -> u64 {
        self.clock_start_ms + self.born.elapsed().as_millis() as u64
    }

    /// Number of runs that are running.
    pub fn runs(&self) -> usize {
        self.running.len()
    }

    fn extend(&mut self, end_ms: u64) {
        let max_ms = self.clock_ms() + LEASE_MAX_MS;
        self.lease_end_ms = self.lease_end_ms.max(end_ms.min(max_ms));
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<End> {
        let run = self.running.remove(task)?;
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run.number);
        self.ends += 1;
        self.ended
            .push((self.ends, task.to_owned(), run.number, how));
        Some(End {
            task: task.to_owned(),
            run: run.number,
            worker: self.id.clone(),
            how,
            at: Instant::now(),
            noted: None,
            number: self.ends,
        })
    }

    fn accept(&self, mut rows: Vec<(&str, Json)>) -> Reply {
        rows.push(("clock-ms", Json::number(self.clock_ms())));
        rows.push(("born", Json::number(self.born_ms)));
        Reply::of(200, Json::table(rows).write())
    }

    fn refuse(&self, reason: &str) -> Reply {
        let body = Json::table(vec![
            ("clock-ms", Json::number(self.clock_ms())),
            ("reason", Json::text(reason)),
        ]);
        Reply::of(409, body.write())
    }
}

fn task_and_run(body: &Json) -> (String, u64) {
    (
        body.get("task").as_text().to_owned(),
        body.get("run").as_u64().unwrap_or(0),
    )
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
