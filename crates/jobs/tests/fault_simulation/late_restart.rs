//! A long-running task that did not run for too long.

use std::fmt::Display;
use std::fmt::Formatter;

use sapphirestile_jobs::TaskIdentity;

use crate::owner_claim::OwnerClaim;

/// A long-running task that did not run again by the time at which it had to. Times are in
/// milliseconds.
#[derive(Clone, Debug)]
pub struct LateRestart {
    pub task: TaskIdentity,
    /// When the latest run ended.
    pub ended: u64,
    /// When the task had to run again.
    pub due: u64,
    /// When the next run started; `None` if it has not.
    pub started: Option<u64>,
    /// Claims since the end of the run.
    pub claims: Vec<OwnerClaim>,
}

impl Display for LateRestart {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            task, ended, due, ..
        } = self;
        write!(
            formatter,
            "long-running {task} ended at {ended} ms, had to run by {due} ms, "
        )?;
        match self.started {
            Some(started) => {
                let gap = started - ended;
                write!(formatter, "and ran at {started} ms, {gap} ms after its end")?;
            }
            None => write!(formatter, "and has not run since")?,
        }
        for claim in &self.claims {
            write!(formatter, "; {claim}")?;
        }
        Ok(())
    }
}
