//! Ownership of cells: journal, tasks, recovery, shares of quotas and throttles.
//!
//! A cell is a partition of workers and of the jobs that run on them. Its durable
//! state is [`CellState`], the fold of its journal of [`JournalEntry`]s. An entry is
//! a claim, a release or a batch of [`CellTransition`]s. One daemon owns a cell at a
//! time. Its [`CellOwner`] starts in [`ClaimingPhase`] and moves to [`OwningPhase`]
//! once its claim is in the journal. There it merges workers' reports, proposes
//! transitions, and returns an effect only after the batch that the effect belongs to
//! is in the journal. If another writer appends to the journal first, the owner has
//! lost the cell.
//!
//! A worker reports what changed since a [`ReportMark`]; a [`FullReport`] merges it.
//! Cells lend each other shares of a customer's quota with [`ShareReport`]s and
//! [`ShareAnswer`]s. The slowdown that daemons measure next to a worker becomes a
//! [`CombinedSlowdown`], and a [`ThrottleRequest`] reacts to it.
//!
//! The crate does no I/O and reads no clock: the caller commits the entries and
//! carries out the [`CellEffect`]s.

mod journal;
mod map;
mod owner;
mod planner;
mod pressure;
mod shares;
mod state;

pub use journal::ArraySpec;
pub use journal::CellTransition;
pub use journal::EntryBody;
pub use journal::JournalEntry;
pub use map::CellMap;
pub use owner::AnswerView;
pub use owner::AttemptReport;
pub use owner::AttemptStart;
pub use owner::AttemptStop;
pub use owner::CellEffect;
pub use owner::CellOwner;
pub use owner::CellWorker;
pub use owner::ClaimingPhase;
pub use owner::CommitOutcome;
pub use owner::DecisionLog;
pub use owner::DecisionRecord;
pub use owner::FullReport;
pub use owner::GoneAttempt;
pub use owner::LIST_LAG_MAX_MS;
pub use owner::MergeError;
pub use owner::OwningPhase;
pub use owner::ReportChanges;
pub use owner::ReportMark;
pub use owner::ReportView;
pub use owner::ReportedPhase;
pub use owner::SessionRenewal;
pub use owner::ThrottleRequest;
pub use owner::WorkerFacts;
pub use planner::EvictionRequest;
pub use planner::PlanView;
pub use planner::PlannedStart;
pub use planner::StartPlanner;
pub use pressure::CombinedSlowdown;
pub use pressure::DaemonSample;
pub use pressure::MessageSequence;
pub use pressure::PressureDecision;
pub use pressure::PressureRecord;
pub use pressure::PressureTracker;
pub use pressure::ReportedThrottle;
pub use pressure::RequestedThrottle;
pub use pressure::SlowdownView;
pub use pressure::ThrottleCandidate;
pub use pressure::WorkerSamples;
pub use shares::BorrowerView;
pub use shares::DemandQueue;
pub use shares::LenderReport;
pub use shares::ShareAnswer;
pub use shares::ShareCounter;
pub use shares::ShareDemand;
pub use shares::ShareReport;
pub use shares::ShareRequest;
pub use shares::ShareTotals;
pub use shares::UnmetDemand;
pub use state::ArrayProgress;
pub use state::AssignedPhase;
pub use state::CellState;
pub use state::EndedPhase;
pub use state::RequestRecord;
pub use state::TASKS_MAX;
pub use state::TaskCycle;
pub use state::TaskEntry;
pub use state::TaskOutcome;
pub use state::TransitionError;
pub use state::WaitingPhase;
