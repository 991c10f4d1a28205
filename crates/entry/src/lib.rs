//! A daemon between callers and workers that keeps its jobs in a store.
//!
//! All daemons are equal. Each takes jobs from callers through its [`JobDesk`] and
//! has them in the store before it says yes. One of them owns the jobs: an
//! [`OwnershipKeeper`] follows the row that names the owner, claims it when the
//! owner no longer writes there, and then drives a
//! [`JobOwner`](sapphirestile_jobs::JobOwner) until another takes over.
//!
//! What is outside is met through ports: a [`StorePort`], a [`WorkerPort`] and an
//! [`EventSource`] each for operators' changes and the list of workers. An
//! [`EntryCycle`] takes the daemon from its [`EntrySettings`] to serving and
//! through a planned stop. All parts share one [`EntryContext`]; what they do is told
//! through a [`LogQueue`] and counted in [`EntryMetrics`].

mod context;
mod cycle;
mod desk;
mod following;
mod logging;
mod metrics;
mod owner;
mod ports;
mod settings;
mod store;

pub use context::CallPatience;
pub use context::DeployedView;
pub use context::EntryContext;
pub use context::StorePulse;
pub use cycle::DrainingPhase;
pub use cycle::EntryCycle;
pub use cycle::EntryPorts;
pub use cycle::ServingPhase;
pub use desk::AcceptOutcome;
pub use desk::CancelOutcome;
pub use desk::JobDesk;
pub use desk::StateOutcome;
pub use desk::WaitingOutcome;
pub use following::EventFollower;
pub use following::FollowedEvent;
pub use following::RetryPause;
pub use logging::LogBudget;
pub use logging::LogQueue;
pub use metrics::EntryMetrics;
pub use metrics::MetricsService;
pub use metrics::OutcomeLabel;
pub use owner::ClaimDelay;
pub use owner::ElasticPool;
pub use owner::HeadFollower;
pub use owner::HeadStep;
pub use owner::OwnershipKeeper;
pub use owner::PlanPace;
pub use owner::RunSources;
pub use ports::AdvicePort;
pub use ports::CommitAnswer;
pub use ports::EventListing;
pub use ports::EventSource;
pub use ports::RowChange;
pub use ports::RowGuard;
pub use ports::RowListing;
pub use ports::RowWrite;
pub use ports::StoreCommit;
pub use ports::StoreFault;
pub use ports::StorePort;
pub use ports::StoredRow;
pub use ports::WorkerPort;
pub use settings::BoundSettings;
pub use settings::EntrySettings;
pub use settings::NodeSettings;
pub use settings::PortSettings;
pub use settings::SettingsFault;
pub use settings::TargetSettings;
pub use store::HeadRow;
pub use store::IntakeEvent;
pub use store::IntakeSource;
pub use store::RowKeys;
