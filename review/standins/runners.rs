//! Stand-ins for runners, as the page on the protocol describes them, and the check of the
//! rule TWICE from what they see.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Service;
use crate::json::Json;
use crate::json::quoted;

/// The longest lease (`hold-max-ms` of the site).
const HOLD_MAX_MS: u64 = 10_000;
/// `gang-timeout-ms` of the site.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// The channels that a runner takes at once.
const CHANNELS_MAX: usize = 64;
/// The most ends in one answer to a hold.
const ENDS_MAX: usize = 500;

#[derive(Clone)]
struct Run {
    run: u64,
    started_ms: u64,
    /// The time of the scene at which the run is done; `None` if it has no end of its own, or
    /// waits for the others of its gang.
    done_ms: Option<u64>,
}

/// A run that has begun.
pub struct Start {
    pub at_ms: u64,
    pub task: String,
    pub run: u64,
    pub runner: usize,
    pub life: u64,
}

/// A run that has ended on a runner that was up.
pub struct End {
    pub at_ms: u64,
    pub task: String,
    pub run: u64,
    pub runner: usize,
    pub life: u64,
    pub number: u64,
    pub how: &'static str,
    /// When `seen-upto` reached the end.
    pub noted_ms: Option<u64>,
    /// Whether the runner's lease lapsed after the end and before it was noted.
    pub has_lapsed: bool,
    pub is_forgotten: bool,
}

struct Runner {
    id: String,
    address: SocketAddr,
    rack: String,
    /// Counts the lives; a connection belongs to the life in which it was accepted.
    life: u64,
    /// Unix milliseconds of the start of this life.
    born: u64,
    /// The start of this life in the time of the scene.
    born_ms: u64,
    /// Whether it runs.
    is_up: bool,
    /// Whether it is without power: nothing is sent, not even the end of a connection.
    is_dark: bool,
    /// Delay of its answers, as between regions.
    answer_delay: Duration,
    token: u64,
    /// On the clock of this life.
    lease_end_ms: u64,
    has_lapsed: bool,
    running: BTreeMap<String, Run>,
    refused: HashMap<String, u64>,
    ends: u64,
    holds: u64,
    connections: Vec<TcpStream>,
}

/// What a gang needs to be done.
struct Gang {
    members: usize,
    work_ms: u64,
}

#[derive(Default)]
struct Fleet {
    runners: Vec<Runner>,
    gangs: HashMap<String, Gang>,
    starts: Vec<Start>,
    ends: Vec<End>,
    /// Runs that were under way at the same time: task and the two runners.
    overlaps: Vec<String>,
    record: Vec<(u64, String)>,
    refused_channels: u64,
}

/// All runners of a scene.
pub struct Runners {
    origin: Instant,
    fleet: Mutex<Fleet>,
    changed: Condvar,
}

impl Runners {
    /// Opens a port for each runner; `racks` names the rack of each.
    pub fn open(origin: Instant, racks: &[&str]) -> Arc<Self> {
        let runners = Arc::new(Self {
            origin,
            fleet: Mutex::default(),
            changed: Condvar::new(),
        });
        for (index, rack) in racks.iter().enumerate() {
            let (listener, address) = http::bind();
            let runner = Runner {
                id: format!("i-{index:02}c0ffee"),
                address,
                rack: (*rack).to_owned(),
                life: 1,
                born: unix_ms(),
                born_ms: runners.now_ms(),
                is_up: true,
                is_dark: false,
                answer_delay: Duration::ZERO,
                token: 0,
                lease_end_ms: 0,
                has_lapsed: false,
                running: BTreeMap::new(),
                refused: HashMap::new(),
                ends: 0,
                holds: 0,
                connections: Vec::new(),
            };
            runners.fleet.lock().unwrap().runners.push(runner);
            let port = RunnerPort {
                runners: Arc::clone(&runners),
                index,
                open: AtomicUsize::new(0),
            };
            http::serve(listener, Arc::new(port));
        }
        let ticking = Arc::clone(&runners);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(4));
                drop(ticking.lock());
            }
        });
        runners
    }

    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    /// Locks the fleet after everything that is due has ended.
    fn lock(&self) -> MutexGuard<'_, Fleet> {
        let mut fleet = self.fleet.lock().unwrap();
        if fleet.advance(self.now_ms()) {
            self.changed.notify_all();
        }
        fleet
    }

    /// Adds a line to the record.
    pub fn note(&self, line: String) {
        let now_ms = self.now_ms();
        self.fleet.lock().unwrap().record.push((now_ms, line));
    }

    /// The entries of the runners in the store: keys and values.
    pub fn entries(&self, seq: u64) -> Vec<(String, String)> {
        let fleet = self.lock();
        let up = fleet
            .runners
            .iter()
            .filter(|runner| runner.is_up && !runner.is_dark);
        up.map(|runner| {
            let value = format!(
                "{{\"backend\":\"sizing\",\"address\":\"{}\",\"zone\":\"near-a\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":{seq},\"born\":{},\
                 \"labels\":[\"a\",\"{}\"],\"capacity\":{{\"cpu\":64000,\"mem-mb\":250000,\"gpu\":0}}}}",
                runner.address, runner.born, runner.rack
            );
            (format!("servers/{}", runner.id), value)
        })
        .collect()
    }

    /// Says that a submission's only step is a gang.
    pub fn expect_gang(&self, job: &str, members: usize, work_ms: u64) {
        let gang = Gang { members, work_ms };
        self.lock().gangs.insert(job.to_owned(), gang);
    }

    pub fn delay_answers(&self, index: usize, delay: Duration) {
        self.lock().runners[index].answer_delay = delay;
    }

    /// Ends the life of a runner: it holds nothing any more and its connections are closed, or,
    /// if it loses power, stay open without a byte.
    pub fn crash(&self, index: usize, is_dark: bool) {
        let now_ms = self.now_ms();
        let mut fleet = self.lock();
        fleet.forget_ends(index);
        let runner = &mut fleet.runners[index];
        runner.is_up = false;
        runner.is_dark = is_dark;
        runner.running.clear();
        for connection in std::mem::take(&mut runner.connections) {
            if !is_dark {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        let how = if is_dark { "lost its power" } else { "crashed" };
        let line = format!("runner {} {how}", runner.id);
        fleet.record.push((now_ms, line));
        self.changed.notify_all();
    }

    /// Starts a runner again under the id that it had. It knows nothing of before.
    pub fn restart(&self, index: usize) {
        let now_ms = self.now_ms();
        let mut fleet = self.lock();
        let runner = &mut fleet.runners[index];
        runner.life += 1;
        runner.born = unix_ms();
        runner.born_ms = now_ms;
        runner.is_up = true;
        runner.is_dark = false;
        runner.token = 0;
        runner.lease_end_ms = 0;
        runner.has_lapsed = false;
        runner.refused.clear();
        runner.ends = 0;
        let line = format!("runner {} started again, life {}", runner.id, runner.life);
        fleet.record.push((now_ms, line));
        self.changed.notify_all();
    }

    /// The number of runs of a submission that are under way.
    pub fn running_of(&self, job: &str) -> usize {
        let fleet = self.lock();
        let runners = fleet.runners.iter();
        runners
            .map(|runner| {
                runner
                    .running
                    .keys()
                    .filter(|task| task.starts_with(job))
                    .count()
            })
            .sum()
    }

    /// The runners on which runs of a submission are under way.
    pub fn runners_of(&self, job: &str) -> Vec<usize> {
        let fleet = self.lock();
        let runners = fleet.runners.iter().enumerate();
        runners
            .filter(|(_, runner)| runner.running.keys().any(|task| task.starts_with(job)))
            .map(|(index, _)| index)
            .collect()
    }

    /// The number of ends of a submission.
    pub fn ends_of(&self, job: &str, how: &str) -> usize {
        let fleet = self.lock();
        let ends = fleet.ends.iter();
        ends.filter(|end| end.how == how && end.task.starts_with(job))
            .count()
    }

    /// The starts of a submission after a time of the scene.
    pub fn starts_after(&self, job: &str, after_ms: u64) -> usize {
        let fleet = self.lock();
        let starts = fleet.starts.iter();
        starts
            .filter(|start| start.at_ms > after_ms && start.task.starts_with(job))
            .count()
    }

    /// The runner that keeps the most ends, and their number.
    pub fn most_kept_ends(&self) -> (usize, usize) {
        let fleet = self.lock();
        let counts = (0..fleet.runners.len()).map(|index| (fleet.kept_ends(index).count(), index));
        let (count, index) = counts.max().unwrap_or_default();
        (index, count)
    }

    /// Whether every runner has been called by an owner since a number of holds.
    pub fn are_held(&self, holds: u64) -> bool {
        self.lock()
            .runners
            .iter()
            .all(|runner| runner.holds >= holds)
    }

    /// The breaches of the rule TWICE.
    pub fn breaches_of_twice(&self) -> Vec<String> {
        let fleet = self.lock();
        let mut breaches = fleet.overlaps.clone();
        let mut done: HashMap<&str, Vec<&End>> = HashMap::new();
        for end in fleet.ends.iter().filter(|end| end.how == "done") {
            done.entry(&end.task).or_default().push(end);
        }
        for start in &fleet.starts {
            let ends = done.get(start.task.as_str()).map_or(&[][..], |ends| ends);
            let earlier = ends
                .iter()
                .find(|end| end.at_ms < start.at_ms && end.noted_ms.is_some() && !end.has_lapsed);
            if let Some(end) = earlier {
                breaches.push(format!(
                    "{}: run {} was done on runner {} (life {}, end {}) at {} ms and taken note of at {} ms; \
                     run {} began on runner {} (life {}) at {} ms",
                    start.task,
                    end.run,
                    end.runner,
                    end.life,
                    end.number,
                    end.at_ms,
                    end.noted_ms.unwrap_or_default(),
                    start.run,
                    start.runner,
                    start.life,
                    start.at_ms
                ));
            }
        }
        breaches
    }

    /// The record so far, in the order of time.
    pub fn record(&self) -> Vec<String> {
        let fleet = self.lock();
        let mut lines = fleet.record.clone();
        let refused = format!(
            "channels refused by runners that had {CHANNELS_MAX}: {}",
            fleet.refused_channels
        );
        lines.push((self.now_ms(), refused));
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        lines
            .into_iter()
            .map(|(at_ms, line)| format!("{at_ms:>7} ms  {line}"))
            .collect()
    }
}

impl Fleet {
    /// Ends what is due. Returns whether anything ended.
    fn advance(&mut self, now_ms: u64) -> bool {
        self.begin_gangs(now_ms);
        let mut due: Vec<(u64, usize, String, &'static str)> = Vec::new();
        for (index, runner) in self.runners.iter().enumerate() {
            if !runner.is_up {
                continue;
            }
            let lease_end = runner.born_ms + runner.lease_end_ms;
            for (task, run) in &runner.running {
                if let Some(done_ms) = run
                    .done_ms
                    .filter(|done_ms| *done_ms <= now_ms.min(lease_end))
                {
                    due.push((done_ms, index, task.clone(), "done"));
                } else if lease_end <= now_ms {
                    due.push((lease_end, index, task.clone(), "lapsed"));
                } else if run.done_ms.is_none() && self.is_alone(task, run, now_ms) {
                    due.push((now_ms, index, task.clone(), "alone"));
                }
            }
        }
        let has_ended = !due.is_empty();
        due.sort();
        for (at_ms, index, task, how) in due {
            self.end(index, &task, how, at_ms);
        }
        self.mark_lapses(now_ms);
        has_ended
    }

    fn is_alone(&self, task: &str, run: &Run, now_ms: u64) -> bool {
        self.gangs.contains_key(job_of(task)) && now_ms > run.started_ms + GANG_TIMEOUT_MS
    }

    /// Lets each gang work from the moment when all its tasks are present under one run.
    fn begin_gangs(&mut self, now_ms: u64) {
        for (job, gang) in &self.gangs {
            let mut present: HashMap<u64, usize> = HashMap::new();
            for runner in self.runners.iter().filter(|runner| runner.is_up) {
                let runs = runner
                    .running
                    .iter()
                    .filter(|(task, _)| job_of(task) == job);
                for (_, run) in runs.filter(|(_, run)| run.done_ms.is_none()) {
                    *present.entry(run.run).or_default() += 1;
                }
            }
            let whole = present.iter().find(|(_, count)| **count == gang.members);
            let Some((number, _)) = whole else { continue };
            for runner in self.runners.iter_mut().filter(|runner| runner.is_up) {
                let runs = runner
                    .running
                    .iter_mut()
                    .filter(|(task, _)| job_of(task) == job);
                for (_, run) in runs.filter(|(_, run)| run.run == *number) {
                    run.done_ms = Some(now_ms + gang.work_ms);
                }
            }
        }
    }

    /// Ends a run, and those of its gang with it.
    fn end(&mut self, index: usize, task: &str, how: &'static str, at_ms: u64) {
        let Some(run) = self.runners[index].running.remove(task) else {
            return;
        };
        let number = run.run;
        self.list_end(index, task, number, how, at_ms);
        if how == "done" || !self.gangs.contains_key(job_of(task)) {
            return;
        }
        for other in 0..self.runners.len() {
            if !self.runners[other].is_up {
                continue;
            }
            let members: Vec<String> = self.runners[other]
                .running
                .iter()
                .filter(|(name, run)| job_of(name) == job_of(task) && run.run == number)
                .map(|(name, _)| name.clone())
                .collect();
            for member in members {
                self.runners[other].running.remove(&member);
                self.list_end(other, &member, number, "broken", at_ms);
            }
        }
    }

    fn list_end(&mut self, index: usize, task: &str, run: u64, how: &'static str, at_ms: u64) {
        let runner = &mut self.runners[index];
        runner.ends += 1;
        let refused = runner.refused.entry(task.to_owned()).or_default();
        *refused = (*refused).max(run);
        let (life, number, id) = (runner.life, runner.ends, runner.id.clone());
        self.ends.push(End {
            at_ms,
            task: task.to_owned(),
            run,
            runner: index,
            life,
            number,
            how,
            noted_ms: None,
            has_lapsed: false,
            is_forgotten: false,
        });
        self.record.push((
            at_ms,
            format!("runner {id}: run {run} of {task} ended {how}, end {number}"),
        ));
    }

    /// Marks the ends that are not noted yet on runners whose lease has lapsed.
    fn mark_lapses(&mut self, now_ms: u64) {
        for index in 0..self.runners.len() {
            let runner = &mut self.runners[index];
            let is_over = runner.born_ms + runner.lease_end_ms <= now_ms;
            if !runner.is_up || !is_over || runner.has_lapsed {
                continue;
            }
            runner.has_lapsed = true;
            let life = runner.life;
            let ends = self.ends.iter_mut();
            for end in
                ends.filter(|end| end.runner == index && end.life == life && end.noted_ms.is_none())
            {
                end.has_lapsed = true;
            }
        }
    }

    /// The ends that a runner still lists, the earliest first.
    fn kept_ends(&self, index: usize) -> impl Iterator<Item = &End> {
        let life = self.runners[index].life;
        let ends = self.ends.iter();
        ends.filter(move |end| end.runner == index && end.life == life && !end.is_forgotten)
    }

    fn forget_ends(&mut self, index: usize) {
        for end in self.ends.iter_mut().filter(|end| end.runner == index) {
            end.is_forgotten = true;
        }
    }

    fn note_ends(&mut self, index: usize, up_to: u64, now_ms: u64) {
        let life = self.runners[index].life;
        let mut noted = 0;
        for end in self.ends.iter_mut() {
            let is_meant = end.runner == index && end.life == life && end.number <= up_to;
            if is_meant && !end.is_forgotten {
                end.is_forgotten = true;
                end.noted_ms = Some(now_ms);
                noted += 1;
            }
        }
        if noted > 0 {
            let line = format!(
                "runner {}: seen-upto {up_to}, {noted} ends taken note of",
                self.runners[index].id
            );
            self.record.push((now_ms, line));
        }
    }
}

struct RunnerPort {
    runners: Arc<Runners>,
    index: usize,
    open: AtomicUsize,
}

impl RunnerPort {
    /// Waits out the time without power; a byte for an earlier life then closes its connection.
    fn wait_for_power(&self, tag: u64) -> Option<Reply> {
        loop {
            {
                let fleet = self.runners.lock();
                let runner = &fleet.runners[self.index];
                if !runner.is_dark {
                    return (!runner.is_up || runner.life != tag).then_some(Reply::Close);
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn reply(&self, fleet: &Fleet, status: u16, rest: &str) -> Reply {
        let runner = &fleet.runners[self.index];
        let clock_ms = self.runners.now_ms() - runner.born_ms;
        let body = format!("{{\"clock-ms\":{clock_ms},\"born\":{}{rest}}}", runner.born);
        Reply::Answer(status, body)
    }

    fn refusal(&self, fleet: &Fleet, reason: &str) -> Reply {
        self.reply(fleet, 409, &format!(",\"reason\":\"{reason}\""))
    }

    /// Takes the fencing token and the lease; false if the token is too low.
    fn take_token(&self, fleet: &mut Fleet, body: &Json) -> bool {
        let now_ms = self.runners.now_ms();
        let runner = &mut fleet.runners[self.index];
        let token = body.number("fencing-token").unwrap_or(0);
        if token < runner.token {
            return false;
        }
        runner.token = token;
        if let Some(end_ms) = body.number("deadline-ms") {
            let clock_ms = now_ms - runner.born_ms;
            let end_ms = end_ms.min(clock_ms + HOLD_MAX_MS);
            if end_ms > runner.lease_end_ms {
                runner.lease_end_ms = end_ms;
                runner.has_lapsed = end_ms <= clock_ms;
            }
        }
        true
    }

    fn start(&self, body: &Json) -> Reply {
        let now_ms = self.runners.now_ms();
        let mut fleet = self.runners.lock();
        if !self.take_token(&mut fleet, body) {
            return self.refusal(&fleet, "fence");
        }
        let (task, run) = (
            body.text("task").to_owned(),
            body.number("run").unwrap_or(0),
        );
        let runner = &fleet.runners[self.index];
        if runner
            .running
            .get(&task)
            .is_some_and(|known| known.run == run)
        {
            return self.reply(&fleet, 200, "");
        }
        if runner
            .refused
            .get(&task)
            .is_some_and(|refused| run <= *refused)
        {
            return self.refusal(&fleet, "old");
        }
        if body.number("deadline-ms").unwrap_or(0) <= now_ms - runner.born_ms {
            return self.refusal(&fleet, "late");
        }
        let (id, life) = (runner.id.clone(), runner.life);
        let others = fleet
            .runners
            .iter()
            .filter(|other| other.is_up && other.running.contains_key(&task));
        let overlaps: Vec<String> = others
            .map(|other| format!("{task}: run {run} began on {id} at {now_ms} ms while a run was under way on {}", other.id))
            .collect();
        fleet.overlaps.extend(overlaps);
        let work_ms: Option<u64> = body.text("spec").parse().ok();
        let is_gang = fleet.gangs.contains_key(job_of(&task));
        let done_ms = work_ms.filter(|_| !is_gang).map(|work_ms| now_ms + work_ms);
        let entry = Run {
            run,
            started_ms: now_ms,
            done_ms,
        };
        fleet.runners[self.index]
            .running
            .insert(task.clone(), entry);
        fleet.record.push((
            now_ms,
            format!("runner {id}: run {run} of {task} began (life {life})"),
        ));
        fleet.starts.push(Start {
            at_ms: now_ms,
            task,
            run,
            runner: self.index,
            life,
        });
        self.reply(&fleet, 200, "")
    }

    fn stop(&self, body: &Json) -> Reply {
        let now_ms = self.runners.now_ms();
        let mut fleet = self.runners.lock();
        if !self.take_token(&mut fleet, body) {
            return self.refusal(&fleet, "fence");
        }
        let (task, run) = (
            body.text("task").to_owned(),
            body.number("run").unwrap_or(0),
        );
        let runner = &mut fleet.runners[self.index];
        let refused = runner.refused.entry(task.clone()).or_default();
        *refused = (*refused).max(run);
        let known = runner.running.get(&task);
        if known.is_some_and(|known| known.run <= run) {
            fleet.end(self.index, &task, "stopped", now_ms);
            self.runners.changed.notify_all();
        }
        self.reply(&fleet, 200, "")
    }

    fn hold(&self, body: &Json, tag: u64) -> Reply {
        let mut fleet = self.runners.lock();
        fleet.runners[self.index].holds += 1;
        if !self.take_token(&mut fleet, body) {
            return self.refusal(&fleet, "fence");
        }
        let now_ms = self.runners.now_ms();
        fleet.note_ends(self.index, body.number("seen-upto").unwrap_or(0), now_ms);
        let wait = Duration::from_millis(body.number("wait-ms").unwrap_or(0).min(2_000));
        let end = Instant::now() + wait;
        loop {
            let runner = &fleet.runners[self.index];
            if runner.is_dark {
                return Reply::Silent;
            }
            if !runner.is_up || runner.life != tag {
                return Reply::Close;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || fleet.kept_ends(self.index).next().is_some() {
                break;
            }
            fleet = self
                .runners
                .changed
                .wait_timeout(fleet, left.min(Duration::from_millis(20)))
                .unwrap()
                .0;
        }
        let running: Vec<String> = fleet.runners[self.index]
            .running
            .iter()
            .map(|(task, run)| format!("[{},{},\"\",100,0]", quoted(task), run.run))
            .collect();
        let ended: Vec<String> = fleet
            .kept_ends(self.index)
            .take(ENDS_MAX)
            .map(|end| {
                format!(
                    "[{},{},{},\"{}\",\"\"]",
                    end.number,
                    quoted(&end.task),
                    end.run,
                    end.how
                )
            })
            .collect();
        let rest = format!(
            ",\"running\":[{}],\"ended\":[{}]",
            running.join(","),
            ended.join(",")
        );
        self.reply(&fleet, 200, &rest)
    }
}

impl Service for RunnerPort {
    fn tag(&self) -> u64 {
        self.runners.lock().runners[self.index].life
    }

    /// A runner that is down has no port; one without power takes no connection, so whatever
    /// is sent to it stays unanswered.
    fn accept(&self, stream: &TcpStream) -> bool {
        let mut fleet = self.runners.lock();
        let runner = &mut fleet.runners[self.index];
        let is_taken =
            (runner.is_up || runner.is_dark) && self.open.load(Ordering::Acquire) < CHANNELS_MAX;
        if is_taken {
            runner.connections.extend(stream.try_clone());
            self.open.fetch_add(1, Ordering::AcqRel);
        } else if runner.is_up {
            fleet.refused_channels += 1;
        }
        is_taken
    }

    fn ended(&self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }

    fn answer(&self, request: &Request) -> Reply {
        if let Some(reply) = self.wait_for_power(request.connection_tag) {
            return reply;
        }
        let (id, delay) = {
            let fleet = self.runners.lock();
            let runner = &fleet.runners[self.index];
            (runner.id.clone(), runner.answer_delay)
        };
        let expected = request.header("Sapphirestile-Expect-Instance");
        if expected.is_some_and(|expected| expected != id) {
            return Reply::Answer(421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let reply = match request.path() {
            "/-/run-start" => self.start(&body),
            "/-/run-stop" => self.stop(&body),
            "/-/hold" => self.hold(&body, request.connection_tag),
            "/-/pace" => self.reply(&self.runners.lock(), 200, ""),
            _ => Reply::Answer(404, "{}".to_owned()),
        };
        thread::sleep(delay);
        reply
    }
}

/// The submission of a task.
fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or("")
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
