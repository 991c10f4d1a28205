//! Ownership of cells of workers: journal, tasks, recovery.
//!
//! A cell is a set of workers and the jobs that run on them. What lasts of a
//! cell is its [`CellState`]: the fold of its journal of [`JournalEntry`]s, each
//! a claim, a release or a batch of [`CellTransition`]s. One daemon owns a cell
//! at a time. Its [`CellOwner`] begins in [`ClaimingPhase`]; once its claim is
//! in the journal it is in [`OpenPhase`], takes reports of workers, proposes
//! transitions, and lets an effect out only after the batch that it belongs to
//! is in the journal. Whatever beats it to the journal's head deposes it.
//!
//! Batch tasks that slow services are throttled by a [`PressureBook`]; shares of
//! quotas are lent among cells by [`ShareTotals`].
//!
//! Nothing here does I/O or reads a clock: the caller commits the entries and
//! carries out the [`CellEffect`]s.

mod journal;
mod map;
mod owner;
mod planner;
mod pressure;
mod shares;
mod state;

pub use journal::CellTransition;
pub use journal::EntryBody;
pub use journal::JobOrder;
pub use journal::JournalEntry;
pub use map::CellMap;
pub use owner::AnswerView;
pub use owner::CellEffect;
pub use owner::CellOwner;
pub use owner::ClaimingPhase;
pub use owner::CommitOutcome;
pub use owner::DecisionLog;
pub use owner::DecisionNote;
pub use owner::GoneAttempt;
pub use owner::LIST_LAG_MAX_MS;
pub use owner::MergeFault;
pub use owner::OpenPhase;
pub use owner::ReportChanges;
pub use owner::ReportMark;
pub use owner::ReportView;
pub use owner::SessionOrder;
pub use owner::SightedPhase;
pub use owner::StartOrder;
pub use owner::StopOrder;
pub use owner::TaskSighting;
pub use owner::ThrottleOrder;
pub use owner::WholeReport;
pub use owner::WorkerFacts;
pub use owner::WorkerView;
pub use planner::EvictionOrder;
pub use planner::PlanView;
pub use planner::PlannedStart;
pub use planner::StartPlanner;
pub use pressure::CombinedSlowdown;
pub use pressure::MessageOrder;
pub use pressure::PressedTask;
pub use pressure::PressureBook;
pub use pressure::PressureRecord;
pub use pressure::PressureStep;
pub use pressure::SampleRow;
pub use pressure::SlowdownView;
pub use pressure::ThrottleRow;
pub use pressure::ThrottleSight;
pub use pressure::WorkerSamples;
pub use shares::BorrowerView;
pub use shares::LenderBook;
pub use shares::ShareAnswer;
pub use shares::ShareAsk;
pub use shares::ShareCounter;
pub use shares::ShareOrder;
pub use shares::ShareReport;
pub use shares::ShareTotals;
pub use shares::ShareWant;
pub use shares::UnmetWant;
pub use state::AssignedPhase;
pub use state::CellState;
pub use state::EndedPhase;
pub use state::JobRecord;
pub use state::RequestRecord;
pub use state::TASKS_MAX;
pub use state::TaskCycle;
pub use state::TaskEntry;
pub use state::TaskOutcome;
pub use state::TransitionFault;
pub use state::WaitingPhase;
