//! Cells of jobs.

use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_jobs::CellChoice;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;

use crate::frontend::JobFrontend;
use crate::frontend::job_frontend::home_reading::HomeReading;
use crate::ports::StoreCallError;
use crate::store::HomeRow;
use crate::store::RowKeys;

impl JobFrontend {
    /// Chooses a cell for a new job.
    pub(super) fn choose_cell(&self, spec: &JobSpec) -> CellNumber {
        let table = self.context.cells.load();
        let loads = table.loads(self.context.clock.now());
        let choice = CellChoice {
            layout: &table.layout,
            loads: &loads,
        };
        let state = self.context.operator_state.load();
        let queue = state
            .config
            .as_ref()
            .and_then(|config| config.queues.get(&spec.queue));
        let service = queue.map_or(&spec.terms.service, |queue| &queue.terms.service);
        choice.for_new_job(
            spec,
            service,
            [rand::random::<u32>(), rand::random::<u32>()],
        )
    }

    /// Reads the home row of a job.
    pub(super) fn read_home(
        &self,
        identity: &JobIdentity,
        deadline: MonoTime,
    ) -> Result<HomeReading, StoreCallError> {
        let Some(row) = self.read(&RowKeys::home(identity), deadline)? else {
            return Ok(HomeReading::Missing);
        };
        let Some(home) = HomeRow::decode(&row.value) else {
            tracing::error!(job = %identity, "cannot decode which cell has the job");
            return Ok(HomeReading::Unreadable);
        };
        if !home.is_cancelled_early {
            self.homes.insert(identity, home.cell);
        }
        let revision = row.revision;
        Ok(HomeReading::Found { home, revision })
    }
}
