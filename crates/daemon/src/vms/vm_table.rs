//! The platform's list of VMs, by name.

use std::net::SocketAddr;
use std::sync::Arc;

use sapphirestile_cells::WorkerFacts;
use sapphirestile_core::MonoTime;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_wire::vms::SharedWorker;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::vms::VmState;

/// The platform's list of VMs as last read, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmTable {
    rows: Arc<SortedTable<String, VmRecord>>,
    read_at: Option<MonoTime>,
}

impl VmTable {
    /// Creates a table of a list whose read began at `read_at`.
    #[must_use]
    pub fn new(records: Vec<VmRecord>, read_at: MonoTime) -> Self {
        let rows: SortedTable<_, _> = records
            .into_iter()
            .map(|record| (record.name.clone(), record))
            .collect();
        Self {
            rows: Arc::new(rows),
            read_at: Some(read_at),
        }
    }

    /// The same list, with a later read that found it unchanged at `read_at`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::MonoTime;
    /// use sapphirestile_daemon::vms::VmTable;
    ///
    /// let first = VmTable::new(Vec::new(), MonoTime::from_millis(1_000));
    /// let again = first.with_read_time(MonoTime::from_millis(2_000));
    /// assert_eq!(again.read_at(), Some(MonoTime::from_millis(2_000)));
    /// ```
    #[must_use]
    pub fn with_read_time(&self, read_at: MonoTime) -> Self {
        Self {
            rows: Arc::clone(&self.rows),
            read_at: Some(read_at),
        }
    }

    /// When the latest read of the list began; `None` before the first list.
    #[must_use]
    pub const fn read_at(&self) -> Option<MonoTime> {
        self.read_at
    }

    /// The VMs in the order of their names.
    #[must_use]
    pub fn records(&self) -> impl ExactSizeIterator<Item = &VmRecord> {
        self.rows.values()
    }

    /// The address of a VM; `None` when the VM is not listed or its address is invalid.
    #[must_use]
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.rows.get(name)?.address.parse().ok()
    }

    /// Which worker runs on the same machine as a runner; [`SharedWorker::Unknown`] when the
    /// runner is not listed.
    #[must_use]
    pub fn shared_worker(&self, runner: &str) -> SharedWorker {
        let record = self.rows.get(runner);
        record.map_or(SharedWorker::Unknown, |record| record.worker.clone())
    }

    /// Whether the list has a VM of this name that is a worker.
    #[must_use]
    pub fn lists_worker(&self, name: &str) -> bool {
        let record = self.rows.get(name);
        record.is_some_and(|record| record.kind == VmKind::Worker)
    }

    /// The names of all workers, including those that take no work now.
    pub fn worker_names(&self) -> impl Iterator<Item = &str> {
        let workers = self.rows.values();
        workers
            .filter(|record| record.kind == VmKind::Worker)
            .map(|record| record.name.as_str())
    }

    /// The facts of the workers for whose name `belongs` returns `true`. A worker takes work
    /// when its VM is live and its zone takes work.
    #[must_use]
    pub fn workers(
        &self,
        document: &OperatorDocument,
        belongs: impl Fn(&str) -> bool,
    ) -> Vec<WorkerFacts> {
        let workers = self
            .rows
            .values()
            .filter(|record| record.kind == VmKind::Worker);
        workers
            .filter(|record| belongs(&record.name))
            .filter_map(|record| facts_of(record, document))
            .collect()
    }
}

fn facts_of(record: &VmRecord, document: &OperatorDocument) -> Option<WorkerFacts> {
    let is_live = record.state == VmState::Live;
    Some(WorkerFacts {
        worker: WorkerName::try_from(record.name.as_str()).ok()?,
        zone: record.zone.clone(),
        rack: record.rack.clone(),
        size: record.size.unwrap_or_default(),
        takes_work: is_live && document.zone_takes_work(record.zone.as_str()),
    })
}
