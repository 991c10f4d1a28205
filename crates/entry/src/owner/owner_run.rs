//! One time of owning the jobs.

mod event_steps;
mod loading;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use sapphirestile_core::MonoTime;
use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::DeployedConfig;
use sapphirestile_jobs::JobOwner;
use sapphirestile_serving::MonoClock;

use crate::context::EntryContext;
use crate::owner::CommitWriter;
use crate::owner::DecisionLog;
use crate::owner::EffectCarrier;
use crate::owner::OwnedHead;
use crate::owner::OwnerEvent;
use crate::owner::PlanPace;
use crate::owner::RunSources;

/// How often the owner writes when nothing changes, in milliseconds.
const LIFE_SIGN_MS: u64 = 450;

/// The most events that are taken in before what follows from them is done.
const EVENTS_MAX: usize = 256;

/// One time of owning the jobs, from the claim until another daemon takes over or
/// this one stops.
pub struct OwnerRun {
    context: Arc<EntryContext>,
    owner: JobOwner,
    carrier: EffectCarrier,
    events: Receiver<OwnerEvent>,
    batches: Sender<CommitBatch>,
    config: Arc<DeployedConfig>,
    passed: MonoTime,
    pace: PlanPace,
    is_deposed: bool,
    is_released: bool,
}

impl OwnerRun {
    /// Owns the jobs after a claim, until another daemon does or this one stops.
    /// Returns at once when the jobs cannot be read.
    pub fn drive(
        context: &Arc<EntryContext>,
        sources: &RunSources,
        head: OwnedHead,
        claimed: MonoTime,
    ) {
        let (sender, events) = unbounded();
        let Some(owner) = loading::load(context, sources, &head, claimed, &sender) else {
            return;
        };
        let (jobs, workers) = owner.counts();
        tracing::info!(
            epoch = owner.epoch().get(),
            jobs,
            workers,
            took_ms = context.clock.now().millis_since(claimed),
            "owns the jobs"
        );
        let (batches, batch_queue) = unbounded();
        let writer = CommitWriter::new(Arc::clone(context), head);
        let writer_events = sender.clone();
        let spawned = thread::Builder::new()
            .name("commit batches".to_owned())
            .spawn(move || writer.run(&batch_queue, &writer_events));
        spawned.expect("the operating system gives a thread");
        let config = context.deployed.load().config.clone().unwrap_or_default();
        let run = Self {
            context: Arc::clone(context),
            owner,
            carrier: EffectCarrier::new(sources, &sender),
            events,
            batches,
            config,
            passed: claimed,
            pace: PlanPace::new(claimed),
            is_deposed: false,
            is_released: false,
        };
        context.metrics.set_owned_epoch(run.owner.epoch().get());
        run.run();
        context.metrics.set_owned_epoch(0);
    }

    fn run(mut self) {
        while !self.is_deposed && !self.owner.is_deposed() {
            match self.events.recv_timeout(self.wait()) {
                Ok(event) => {
                    self.take_event(event);
                    self.pace.note_event();
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for _ in 0..EVENTS_MAX {
                let Ok(event) = self.events.try_recv() else {
                    break;
                };
                self.take_event(event);
            }
            if self.is_released && !self.owner.is_storing() {
                tracing::info!(epoch = self.owner.epoch().get(), "gave the jobs up");
                return;
            }
            self.step();
        }
        tracing::warn!(
            epoch = self.owner.epoch().get(),
            "another daemon owns the jobs"
        );
    }

    fn step(&mut self) {
        let now = self.context.clock.now();
        let unix_ms = MonoClock::unix_millis();
        self.follow_operators();
        if now.millis_since(self.passed) >= 100 {
            self.owner.advance_time(now, unix_ms);
            self.passed = now;
        }
        if !self.context.is_stopping() {
            if self.pace.is_due(self.owner.is_storing(), now) {
                let is_cut_short = self.owner.plan_starts(now, unix_ms);
                self.pace.note_plan(is_cut_short, now);
            }
            self.owner.poll_due_workers(now);
        }
        for effect in self.owner.take_effects() {
            self.carrier.carry_out(effect);
        }
        let notes = self.owner.take_decisions();
        for note in &notes {
            self.context.metrics.count_decision(note);
        }
        DecisionLog::write(self.owner.epoch().get(), &notes);
        self.send_batch(now);
    }

    fn wait(&self) -> Duration {
        let now = self.context.clock.now();
        let owner = &self.owner;
        self.pace.wait(owner.is_storing(), owner.has_changes(), now)
    }

    fn send_batch(&mut self, now: MonoTime) {
        let is_stopping = self.context.is_stopping();
        if !is_stopping && !self.pace.may_send(self.owner.is_storing(), now) {
            return;
        }
        let is_due = is_stopping || self.pace.since_batch_ms(now) >= LIFE_SIGN_MS;
        let Some(mut batch) = self.owner.take_batch(is_due, now) else {
            return;
        };
        batch.is_last = is_stopping;
        self.is_released = is_stopping;
        self.pace.note_batch(now);
        // The writer ends only after it has said that it was deposed.
        let _ = self.batches.send(batch);
    }

    fn follow_operators(&mut self) {
        let view = self.context.deployed.load();
        if let Some(config) = &view.config
            && !Arc::ptr_eq(config, &self.config)
        {
            self.config = Arc::clone(config);
            self.owner.configure(Arc::clone(config));
        }
        self.owner.set_zones_out(&view.zones_out);
    }
}
