//! Slowdown of services that are co-located with a cell's workers.
//!
//! Daemons report by how much requests next to a worker were slowed, a
//! [`SlowdownView`] each. A [`WorkerSamples`] keeps the latest [`DaemonSample`] of
//! each daemon, drops messages that are old by their [`MessageSequence`], and combines
//! the rest, weighted by requests, into a [`CombinedSlowdown`]. The
//! [`PressureTracker`] keeps a [`PressureRecord`] of each worker and the throttles
//! requested, a [`RequestedThrottle`] each. It applies the rules of
//! `sapphirestile_placement` and returns a [`PressureDecision`] about one
//! [`ThrottleCandidate`]. A [`ReportedThrottle`] is a throttle as a report shows it.

mod combined_slowdown;
mod daemon_sample;
mod message_sequence;
mod pressure_decision;
mod pressure_record;
mod pressure_tracker;
mod reported_throttle;
mod requested_throttle;
mod slowdown_view;
mod throttle_candidate;
mod worker_samples;

pub use combined_slowdown::CombinedSlowdown;
pub use daemon_sample::DaemonSample;
pub use message_sequence::MessageSequence;
pub use pressure_decision::PressureDecision;
pub use pressure_record::PressureRecord;
pub use pressure_tracker::PressureTracker;
pub use reported_throttle::ReportedThrottle;
pub use requested_throttle::RequestedThrottle;
pub use slowdown_view::SlowdownView;
pub use throttle_candidate::ThrottleCandidate;
pub use worker_samples::WorkerSamples;
