//! Simulation of token holders, their store, network and runners.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::event_counts::EventCounts;
use crate::gauge_set::GaugeSet;
use crate::holder_process::HolderProcess;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_slots::ClosedReport;
use sapphirestile_slots::HandoverMessage;
use sapphirestile_slots::LedgerDraft;
use sapphirestile_slots::TokenHolder;
use sapphirestile_slots::TokenLedger;

pub const MAX_REQUEST_MS: u64 = 1_000;
const SHORT_REQUEST_MS: u64 = 20;
const SLOTS: u32 = 8;

/// A request that a runner is processing.
pub struct RunnerWork {
    pub runner: usize,
    pub owner: DaemonIdentity,
    ends_at: MonoTime,
}

/// Daemons with token holders, the store, the network between them, and three runners.
pub struct TokenSimulation {
    pub random: SmallRng,
    pub now: MonoTime,
    pub store: TokenLedger,
    pub store_unavailable: bool,
    pub wanted_slots: Vec<u32>,
    pub runners: Vec<RunnerName>,
    pub processes: Vec<Option<HolderProcess>>,
    pub work: Vec<RunnerWork>,
    pub network: Vec<HandoverMessage>,
    /// Writes without an answer, which the store may still carry out.
    pub delayed: Vec<LedgerDraft>,
    pub reports: Vec<ClosedReport>,
    pub proven_gone: Vec<DaemonIdentity>,
    pub cut_links: Vec<(usize, usize)>,
    pub incarnations: u64,
    /// A fault is injected in one of this many steps in which one is possible.
    pub fault_interval: u32,
    /// Whether operators change the runners' slots in every step.
    pub resizing: bool,
    pub counts: EventCounts,
}

impl TokenSimulation {
    pub fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let daemons = random.random_range(3..=7);
        let runners = (1..=3).map(|index| RunnerName::try_from(format!("runner-{index}")));
        let fault_interval = random.random_range(1..=8);
        let mut simulation = Self {
            random,
            now: MonoTime::from_millis(0),
            store: TokenLedger::default(),
            store_unavailable: false,
            wanted_slots: vec![SLOTS; 3],
            runners: runners.map(Result::unwrap).collect(),
            processes: (0..daemons).map(|_| None).collect(),
            work: Vec::new(),
            network: Vec::new(),
            delayed: Vec::new(),
            reports: Vec::new(),
            proven_gone: Vec::new(),
            cut_links: Vec::new(),
            incarnations: 0,
            fault_interval,
            resizing: seed.is_multiple_of(4),
            counts: EventCounts::default(),
        };
        (0..daemons).for_each(|index| simulation.join(index));
        simulation.size_runners();
        simulation.counts = EventCounts::default();
        simulation
    }

    pub fn step(&mut self) {
        self.now = self.now.plus_millis(self.random.random_range(0..4));
        self.finish_work();
        if self.random.random_bool(0.1) {
            self.apply_delayed_write();
        }
        let index = self.random.random_range(0..self.processes.len());
        match self.random.random_range(0..100) {
            0..30 => self.start_work(index),
            30..48 => self.hand_over(index),
            48..60 => self.send(index),
            60..76 => self.deliver(),
            76..84 => self.apply_ledger(index),
            84..88 => self.reclaim(index),
            88..92 => self.resize(index),
            _ if self.random.random_ratio(1, self.fault_interval) => self.inject_fault(index),
            _ => self.reclaim(index),
        }
        if self.resizing {
            let index = self.random.random_range(0..self.processes.len());
            self.apply_ledger(index);
            self.resize(index);
        }
    }

    pub fn identity(&self, index: usize) -> Option<DaemonIdentity> {
        let process = self.processes[index].as_ref();
        process.map(|process| process.holder.identity().clone())
    }

    pub fn reaches(&self, one: usize, other: usize) -> bool {
        let pair = (one.min(other), one.max(other));
        !self.cut_links.contains(&pair)
    }

    pub fn awake(&mut self, index: usize) -> Option<&mut HolderProcess> {
        self.processes[index]
            .as_mut()
            .filter(|process| !process.frozen)
    }

    /// Writes by compare-and-swap. Returns `false` if the writer gets no confirmation,
    /// whether or not the write took effect.
    pub fn write(&mut self, draft: LedgerDraft) -> bool {
        if self.store_unavailable {
            return false;
        }
        if self.random.random_bool(0.1) {
            self.delayed.push(draft);
            return false;
        }
        self.apply_write(draft);
        let acknowledged = !self.random.random_bool(0.2);
        self.counts.record("answers lost", u32::from(!acknowledged));
        acknowledged
    }

    fn apply_delayed_write(&mut self) {
        if let Some(draft) = self.delayed.pop() {
            self.apply_write(draft);
        }
    }

    fn apply_write(&mut self, draft: LedgerDraft) {
        if draft.base_generation() != self.store.generation {
            return;
        }
        let bytes = postcard::to_stdvec(&draft.finish()).unwrap();
        self.store = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(self.store.check(), Ok(()));
    }

    pub fn join(&mut self, index: usize) {
        if self.store_unavailable || self.processes[index].is_some() {
            return;
        }
        self.incarnations += 1;
        self.counts.record("joined", 1);
        let identity = DaemonIdentity {
            daemon: DaemonName::try_from(format!("vm-{index}")).unwrap(),
            incarnation: IncarnationNumber::new(self.incarnations),
        };
        let mut draft = self.store.draft();
        draft.add_member(&identity);
        self.write(draft);
        if !self.store.has_member(&identity) {
            return;
        }
        let gauges = GaugeSet::default();
        let holder = TokenHolder::new(&identity, &self.store, MAX_REQUEST_MS, self.now, &gauges);
        self.processes[index] = Some(HolderProcess {
            holder,
            gauges,
            frozen: false,
        });
        // A new incarnation at an address proves that the earlier one is gone.
        let earlier =
            |member: &&DaemonIdentity| member.daemon == identity.daemon && **member != identity;
        let earlier = self.store.members.iter().filter(earlier).cloned();
        self.proven_gone.extend(earlier);
    }

    pub fn size_runners(&mut self) {
        if self.store.members.is_empty() {
            return;
        }
        let mut draft = self.store.draft();
        for (runner, slots) in self.runners.iter().zip(&self.wanted_slots) {
            let unknown = !self.store.runners.contains(runner.as_str());
            let recreated = unknown && *slots > 0 && !self.store_unavailable;
            self.counts
                .record("runners recreated", u32::from(recreated));
            draft.raise_slots(runner, *slots);
        }
        let wanted_slots = &self.wanted_slots;
        let runners = &self.runners;
        draft.remove_empty_runners(|runner| {
            let index = runners.iter().position(|known| known == runner);
            index.is_some_and(|index| wanted_slots[index] > 0)
        });
        self.write(draft);
    }

    fn start_work(&mut self, index: usize) {
        let runner = self.random.random_range(0..self.runners.len());
        let long = self.random.random_bool(0.2);
        let max_ms = if long {
            MAX_REQUEST_MS
        } else {
            SHORT_REQUEST_MS
        };
        let length_ms = self.random.random_range(1..max_ms);
        let ends_at = self.now.plus_millis(length_ms);
        let name = self.runners[runner].clone();
        let Some(process) = self.awake(index) else {
            return;
        };
        if process.gauges.gauge(&name).take_slot() {
            let owner = process.holder.identity().clone();
            self.work.push(RunnerWork {
                runner,
                owner,
                ends_at,
            });
        }
    }

    /// Ends completed requests. A frozen owner releases its slots when it resumes.
    pub fn finish_work(&mut self) {
        let (processes, now, runners) = (&self.processes, self.now, &self.runners);
        self.work.retain(|work| {
            if work.ends_at > now {
                return true;
            }
            let mut running = processes.iter().flatten();
            let Some(process) = running.find(|process| *process.holder.identity() == work.owner)
            else {
                return false;
            };
            if !process.frozen {
                let gauge = process.gauges.gauge(&runners[work.runner]);
                gauge.release_slot();
            }
            process.frozen
        });
    }

    fn hand_over(&mut self, index: usize) {
        let peer = self.random.random_range(0..self.processes.len());
        let runner = self.random.random_range(0..self.runners.len());
        let most = self.random.random_range(1..=3);
        let name = self.runners[runner].clone();
        let (Some(to), Some(process)) = (self.identity(peer), self.awake(index)) else {
            return;
        };
        process.holder.hand_over(&to, &name, most, &process.gauges);
        let message = process.holder.recent_changes_to(&to, 9);
        self.network.extend(message);
    }

    pub fn apply_ledger(&mut self, index: usize) {
        let (now, unavailable) = (self.now, self.store_unavailable);
        let store = self.store.clone();
        if let Some(process) = self.awake(index) {
            if !unavailable {
                process.holder.apply(&store, now, &process.gauges);
            }
            let published = process.holder.publish_due_tokens(now, &process.gauges);
            self.counts.record("deferred tokens published", published);
        }
    }
}
