//! Cells of jobs.

use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_jobs::CellChoice;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;

use crate::frontend::JobFrontend;
use crate::ports::StoreCallError;
use crate::store::RowCodec;
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

    /// Reads which cell has a job, with the revision of that row; `None` if there is no such
    /// job.
    pub(super) fn read_home(
        &self,
        identity: &JobIdentity,
        deadline: MonoTime,
    ) -> Result<Option<(CellNumber, u64)>, StoreCallError> {
        let Some(row) = self.read(&RowKeys::home(identity), deadline)? else {
            return Ok(None);
        };
        let Some(cell) = RowCodec::decode(&row.value) else {
            tracing::error!(job = %identity, "cannot decode which cell has the job");
            return Err(StoreCallError::Unknown);
        };
        self.homes.insert(identity, cell);
        Ok(Some((cell, row.revision)))
    }
}
