//! One term of ownership of a cell.

mod division;
mod event_handlers;
mod loaded_cell;
mod loading;
mod stored_cell;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_jobs::DeployedConfig;
use sapphirestile_jobs::FleetDivision;
use sapphirestile_jobs::JobOwner;
use sapphirestile_serving::MonoClock;

use crate::context::EntryContext;
use crate::owner::CommitWriter;
use crate::owner::DecisionLogger;
use crate::owner::EffectDispatcher;
use crate::owner::IntakeGate;
use crate::owner::LearntReader;
use crate::owner::OwnerAdapters;
use crate::owner::OwnerEvent;
use crate::owner::OwnershipClaim;
use crate::owner::PlanSchedule;
use crate::owner::WriteRequest;

pub use stored_cell::StoredCell;

/// The interval at which the owner writes its row when there are no changes, in
/// milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 450;

/// The maximum number of events that are handled before their effects are dispatched.
const EVENTS_PER_STEP_MAX: usize = 256;

/// One term of ownership of a cell, from the claim until another daemon takes over or this
/// one stops.
pub struct OwnershipTerm {
    context: Arc<EntryContext>,
    cell: CellNumber,
    owner: JobOwner,
    /// The list of all workers, from which those of the cell are selected.
    division: FleetDivision,
    /// The read of the cells' rows whose loads were last used to move jobs.
    cells_read: u64,
    /// When an extension of the layout was last proposed.
    layout_proposed: MonoTime,
    intake: IntakeGate,
    dispatcher: EffectDispatcher,
    events: Receiver<OwnerEvent>,
    requests: Sender<WriteRequest>,
    /// The configuration that the owner was last given.
    config: Arc<DeployedConfig>,
    /// When the owner last handled what is due with time.
    last_tick: MonoTime,
    schedule: PlanSchedule,
    /// Whether the commit writer found that another daemon owns the cell.
    is_deposed: bool,
    /// Whether the last batch was sent, which releases the ownership.
    is_released: bool,
}

impl OwnershipTerm {
    /// Runs the term that begins with `claim`, which was sent at `claimed` or later.
    /// Returns when another daemon owns the cell or this one stops, and at once when the
    /// cell's jobs cannot be read.
    pub fn drive(
        context: &Arc<EntryContext>,
        adapters: &OwnerAdapters,
        claim: OwnershipClaim,
        claimed: MonoTime,
    ) {
        let (sender, events) = unbounded();
        let loaded = loading::load(context, adapters, &claim, claimed, &sender);
        let Some(loaded) = loaded else {
            return;
        };
        let cell = claim.cell;
        let (jobs, workers) = loaded.owner.counts();
        tracing::info!(
            %cell,
            epoch = loaded.owner.epoch().get(),
            jobs,
            workers,
            took_ms = context.clock.now().millis_since(claimed),
            "loaded the cell and owns it"
        );
        let (requests, request_queue) = unbounded();
        let writer = CommitWriter::new(Arc::clone(context), claim);
        let writer_events = sender.clone();
        let spawned = thread::Builder::new()
            .name("commit batches".to_owned())
            .spawn(move || writer.run(&request_queue, &writer_events));
        spawned.expect("failed to spawn the commit thread");
        LearntReader::spawn(Arc::clone(context), cell, sender.clone());
        let config = context
            .operator_state
            .load()
            .config
            .clone()
            .unwrap_or_default();
        let term = Self {
            context: Arc::clone(context),
            cell,
            owner: loaded.owner,
            division: loaded.division,
            cells_read: 0,
            layout_proposed: claimed,
            intake: loaded.intake,
            dispatcher: EffectDispatcher::new(adapters, &sender),
            events,
            requests,
            config,
            last_tick: claimed,
            schedule: PlanSchedule::new(claimed),
            is_deposed: false,
            is_released: false,
        };
        context.metrics.start_term(term.owner.epoch().get());
        term.run();
        context.metrics.end_term();
    }

    fn run(mut self) {
        while !self.is_deposed && !self.owner.is_deposed() {
            match self.events.recv_timeout(self.event_timeout()) {
                Ok(event) => {
                    self.handle_event(event);
                    self.schedule.record_event();
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for _ in 0..EVENTS_PER_STEP_MAX {
                let Ok(event) = self.events.try_recv() else {
                    break;
                };
                self.handle_event(event);
            }
            if self.is_released && !self.owner.is_storing() {
                let epoch = self.owner.epoch().get();
                tracing::info!(cell = %self.cell, epoch, "released the cell");
                return;
            }
            self.step();
        }
        tracing::warn!(
            cell = %self.cell,
            epoch = self.owner.epoch().get(),
            since_batch_ms = self.schedule.since_batch_ms(self.context.clock.now()),
            is_storing = self.owner.is_storing(),
            "deposed: another daemon owns the cell"
        );
    }

    fn step(&mut self) {
        let now = self.context.clock.now();
        let unix_ms = MonoClock::unix_millis();
        self.apply_operator_state();
        self.apply_cell_table(now, unix_ms);
        if now.millis_since(self.last_tick) >= 100 {
            self.owner.advance_time(now, unix_ms);
            self.last_tick = now;
        }
        if !self.context.is_stopping() {
            if self.schedule.is_plan_due(self.owner.is_storing(), now) {
                let is_cut_short = self.owner.plan_starts(now, unix_ms);
                self.schedule.record_plan(is_cut_short, now);
            }
            self.owner.poll_due_workers(now);
        }
        for effect in self.owner.take_effects() {
            self.dispatcher.dispatch(effect);
        }
        let decisions = self.owner.take_decisions();
        for decision in &decisions {
            self.context.metrics.count_decision(decision);
        }
        DecisionLogger::write(self.cell, self.owner.epoch().get(), &decisions);
        self.send_batch(now);
    }

    fn event_timeout(&self) -> Duration {
        let now = self.context.clock.now();
        let owner = &self.owner;
        self.schedule
            .event_timeout(owner.is_storing(), owner.has_changes(), now)
    }

    fn send_batch(&mut self, now: MonoTime) {
        let is_stopping = self.context.is_stopping();
        if !is_stopping && !self.schedule.may_send(self.owner.is_storing(), now) {
            return;
        }
        let is_due = is_stopping || self.schedule.since_batch_ms(now) >= HEARTBEAT_INTERVAL_MS;
        let Some(mut batch) = self.owner.take_batch(is_due, now) else {
            return;
        };
        batch.is_last = is_stopping;
        self.is_released = is_stopping;
        self.schedule.record_batch(now);
        // Sending fails only after the writer has reported that the owner was deposed.
        let _ = self.requests.send(WriteRequest::Batch(Box::new(batch)));
    }

    fn apply_operator_state(&mut self) {
        let state = self.context.operator_state.load();
        if let Some(config) = &state.config
            && !Arc::ptr_eq(config, &self.config)
        {
            self.config = Arc::clone(config);
            self.owner.configure(Arc::clone(config));
        }
        self.owner.set_zones_out(&state.zones_out);
    }
}
