//! Holders, their store, network and runners.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::event_counts::EventCounts;
use crate::gauge_set::GaugeSet;
use crate::holder_life::HolderLife;
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

pub const LONGEST_REQUEST_MS: u64 = 1_000;
const SHORT_REQUEST_MS: u64 = 20;
const SLOTS: u32 = 8;

/// A request that a runner works on.
pub struct RunnerWork {
    pub runner: usize,
    pub owner: DaemonIdentity,
    ends: MonoTime,
}

pub struct RoundWorld {
    pub random: SmallRng,
    pub now: MonoTime,
    pub store: TokenLedger,
    pub store_out: bool,
    pub wanted: Vec<u32>,
    pub runners: Vec<RunnerName>,
    pub lives: Vec<Option<HolderLife>>,
    pub work: Vec<RunnerWork>,
    pub network: Vec<HandoverMessage>,
    /// Writes whose answers were lost and that the store may still carry out.
    pub delayed: Vec<LedgerDraft>,
    pub reports: Vec<ClosedReport>,
    pub proven: Vec<DaemonIdentity>,
    pub cut: Vec<(usize, usize)>,
    pub births: u64,
    /// One event in so many at which a fault may come is one.
    pub calm: u32,
    /// Whether operators change the runners' slots all the time.
    pub resizing: bool,
    pub counts: EventCounts,
}

impl RoundWorld {
    pub fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let daemons = random.random_range(3..=7);
        let runners = (1..=3).map(|index| RunnerName::try_from(format!("runner-{index}")));
        let calm = random.random_range(1..=8);
        let mut world = Self {
            random,
            now: MonoTime::from_millis(0),
            store: TokenLedger::default(),
            store_out: false,
            wanted: vec![SLOTS; 3],
            runners: runners.map(Result::unwrap).collect(),
            lives: (0..daemons).map(|_| None).collect(),
            work: Vec::new(),
            network: Vec::new(),
            delayed: Vec::new(),
            reports: Vec::new(),
            proven: Vec::new(),
            cut: Vec::new(),
            births: 0,
            calm,
            resizing: seed.is_multiple_of(4),
            counts: EventCounts::default(),
        };
        (0..daemons).for_each(|place| world.join(place));
        world.size_runners();
        world.counts = EventCounts::default();
        world
    }

    pub fn step(&mut self) {
        self.now = self.now.plus_millis(self.random.random_range(0..4));
        self.finish_work();
        if self.random.random_bool(0.1) {
            self.land_delayed();
        }
        let place = self.random.random_range(0..self.lives.len());
        match self.random.random_range(0..100) {
            0..30 => self.start_work(place),
            30..48 => self.hand_over(place),
            48..60 => self.send(place),
            60..76 => self.deliver(),
            76..84 => self.apply_ledger(place),
            84..88 => self.reclaim(place),
            88..92 => self.resize(place),
            _ if self.random.random_ratio(1, self.calm) => self.fault(place),
            _ => self.reclaim(place),
        }
        if self.resizing {
            let place = self.random.random_range(0..self.lives.len());
            self.apply_ledger(place);
            self.resize(place);
        }
    }

    pub fn identity(&self, place: usize) -> Option<DaemonIdentity> {
        let life = self.lives[place].as_ref();
        life.map(|life| life.holder.identity().clone())
    }

    pub fn reaches(&self, one: usize, other: usize) -> bool {
        let pair = (one.min(other), one.max(other));
        !self.cut.contains(&pair)
    }

    pub fn awake(&mut self, place: usize) -> Option<&mut HolderLife> {
        self.lives[place].as_mut().filter(|life| !life.frozen)
    }

    /// Writes by compare-and-swap; false when the writer is not told that the
    /// write took effect.
    pub fn write(&mut self, draft: LedgerDraft) -> bool {
        if self.store_out {
            return false;
        }
        if self.random.random_bool(0.1) {
            self.delayed.push(draft);
            return false;
        }
        self.land(draft);
        let told = !self.random.random_bool(0.2);
        self.counts.note("answers lost", u32::from(!told));
        told
    }

    fn land_delayed(&mut self) {
        if let Some(draft) = self.delayed.pop() {
            self.land(draft);
        }
    }

    fn land(&mut self, draft: LedgerDraft) {
        if draft.former() != self.store.generation {
            return;
        }
        let bytes = postcard::to_stdvec(&draft.finish()).unwrap();
        self.store = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(self.store.check(), Ok(()));
    }

    pub fn join(&mut self, place: usize) {
        if self.store_out || self.lives[place].is_some() {
            return;
        }
        self.births += 1;
        self.counts.note("joined", 1);
        let me = DaemonIdentity {
            daemon: DaemonName::try_from(format!("vm-{place}")).unwrap(),
            incarnation: IncarnationNumber::new(self.births),
        };
        let mut draft = self.store.draft();
        draft.add_member(&me);
        self.write(draft);
        if !self.store.has_member(&me) {
            return;
        }
        let gauges = GaugeSet::default();
        let holder = TokenHolder::new(&me, &self.store, LONGEST_REQUEST_MS, self.now, &gauges);
        self.lives[place] = Some(HolderLife {
            holder,
            gauges,
            frozen: false,
        });
        // The next life at an address proves that the one before it is gone.
        let earlier = |member: &&DaemonIdentity| member.daemon == me.daemon && **member != me;
        let earlier = self.store.members.iter().filter(earlier).cloned();
        self.proven.extend(earlier);
    }

    pub fn size_runners(&mut self) {
        if self.store.members.is_empty() {
            return;
        }
        let mut draft = self.store.draft();
        for (runner, slots) in self.runners.iter().zip(&self.wanted) {
            let unknown = !self.store.runners.contains(runner.as_str());
            let born = unknown && *slots > 0 && !self.store_out;
            self.counts.note("runners reborn", u32::from(born));
            draft.size_runner(runner, *slots);
        }
        let wanted = &self.wanted;
        let runners = &self.runners;
        draft.forget_runners(|runner| {
            let place = runners.iter().position(|known| known == runner);
            place.is_some_and(|place| wanted[place] > 0)
        });
        self.write(draft);
    }

    fn start_work(&mut self, place: usize) {
        let runner = self.random.random_range(0..self.runners.len());
        let long = self.random.random_bool(0.2);
        let most = if long {
            LONGEST_REQUEST_MS
        } else {
            SHORT_REQUEST_MS
        };
        let length = self.random.random_range(1..most);
        let ends = self.now.plus_millis(length);
        let name = self.runners[runner].clone();
        let Some(life) = self.awake(place) else {
            return;
        };
        if life.gauges.gauge(&name).take_slot() {
            let owner = life.holder.identity().clone();
            self.work.push(RunnerWork {
                runner,
                owner,
                ends,
            });
        }
    }

    /// Ends work that is done; a frozen owner learns of it when it wakes.
    pub fn finish_work(&mut self) {
        let (lives, now, runners) = (&self.lives, self.now, &self.runners);
        self.work.retain(|work| {
            if work.ends > now {
                return true;
            }
            let mut living = lives.iter().flatten();
            let Some(life) = living.find(|life| *life.holder.identity() == work.owner) else {
                return false;
            };
            if !life.frozen {
                let gauge = life.gauges.gauge(&runners[work.runner]);
                gauge.release_slot();
            }
            life.frozen
        });
    }

    fn hand_over(&mut self, place: usize) {
        let peer = self.random.random_range(0..self.lives.len());
        let runner = self.random.random_range(0..self.runners.len());
        let most = self.random.random_range(1..=3);
        let name = self.runners[runner].clone();
        let (Some(to), Some(life)) = (self.identity(peer), self.awake(place)) else {
            return;
        };
        life.holder.hand_over(&to, &name, most, &life.gauges);
        let news = life.holder.news_to(&to, 9);
        self.network.extend(news);
    }

    pub fn apply_ledger(&mut self, place: usize) {
        let (now, out) = (self.now, self.store_out);
        let store = self.store.clone();
        if let Some(life) = self.awake(place) {
            if !out {
                life.holder.apply(&store, now, &life.gauges);
            }
            let lifted = life.holder.lift_embargoes(now, &life.gauges);
            self.counts.note("embargoes lifted", lifted);
        }
    }
}
