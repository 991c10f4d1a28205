//! A daemon that schedules callers' jobs on workers and keeps them in a store.
//!
//! All daemons are equal. Each accepts jobs from callers through its [`JobFrontend`]
//! and acknowledges them only once they are stored. Workers and jobs are divided into cells,
//! as in a [`CellTable`], and each cell has one daemon as its owner: an [`OwnerElection`]
//! monitors the rows that name the owners, claims one when its owner no longer writes it,
//! and then drives a [`JobOwner`](sapphirestile_jobs::JobOwner) until another daemon takes
//! over.
//!
//! External systems are reached through ports: a [`StorePort`], a [`WorkerPort`], and
//! one [`EventSource`] each for the operators' changes and the list of workers. An
//! [`EntryDaemon`] takes its [`EntrySettings`] from startup to a planned stop. All
//! parts share one [`EntryContext`]. Log lines go through a [`LogQueue`], and metrics
//! are kept in [`EntryMetrics`].

mod cells;
mod context;
mod copies;
mod frontend;
mod lifecycle;
mod logging;
mod metrics;
mod owner;
mod ports;
mod settings;
mod store;
mod watching;

pub use cells::CellHead;
pub use cells::CellTable;
pub use context::EntryContext;
pub use context::OperatorState;
pub use context::StoreHealth;
pub use context::StoreTimeout;
pub use copies::CopySource;
pub use copies::DirectSource;
pub use copies::DocumentCopies;
pub use copies::ReadingPolicy;
pub use frontend::CancelOutcome;
pub use frontend::CancellationRows;
pub use frontend::HomeCache;
pub use frontend::JobFrontend;
pub use frontend::StateOutcome;
pub use frontend::SubmitOutcome;
pub use frontend::WaitingOutcome;
pub use frontend::WritePace;
pub use lifecycle::DrainingPhase;
pub use lifecycle::EntryAdapters;
pub use lifecycle::EntryDaemon;
pub use lifecycle::ServingPhase;
pub use logging::LogLimiter;
pub use logging::LogQueue;
pub use metrics::EntryMetrics;
pub use metrics::MetricsService;
pub use metrics::OutcomeLabel;
pub use owner::BatchRows;
pub use owner::CallLane;
pub use owner::CellClaims;
pub use owner::ClaimDecision;
pub use owner::ClaimDelay;
pub use owner::ElasticPool;
pub use owner::FreeCell;
pub use owner::IntakeGate;
pub use owner::ORDERS_PER_WORKER_MAX;
pub use owner::OwnerAdapters;
pub use owner::OwnerElection;
pub use owner::OwnerMonitor;
pub use owner::PlanSchedule;
pub use owner::RemovedJob;
pub use owner::StartWindow;
pub use owner::StoredCell;
pub use ports::AdvicePort;
pub use ports::CommitAnswer;
pub use ports::EventListing;
pub use ports::EventSource;
pub use ports::ListTimeouts;
pub use ports::RowChange;
pub use ports::RowGuard;
pub use ports::RowListing;
pub use ports::RowWatchPort;
pub use ports::RowWrite;
pub use ports::StoreCallError;
pub use ports::StoreCommit;
pub use ports::StorePort;
pub use ports::StoredRow;
pub use ports::WorkerPort;
pub use settings::BoundSettings;
pub use settings::EntrySettings;
pub use settings::NodeSettings;
pub use settings::PortSettings;
pub use settings::SettingsError;
pub use settings::TargetSettings;
pub use store::DocumentCopy;
pub use store::DocumentReport;
pub use store::EarlyCancellation;
pub use store::HomeRow;
pub use store::IntakeEvent;
pub use store::IntakeSource;
pub use store::OwnershipRow;
pub use store::RowKeys;
pub use store::TransferRow;
pub use watching::EventWatcher;
pub use watching::RetryBackoff;
pub use watching::WatchUpdate;
