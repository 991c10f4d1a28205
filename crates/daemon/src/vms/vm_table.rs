//! The VMs by name.

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

/// The platform's list of VMs, as last read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmTable {
    rows: Arc<SortedTable<String, VmRecord>>,
    read: Option<MonoTime>,
}

impl VmTable {
    /// The list as read at `read`.
    #[must_use]
    pub fn new(records: Vec<VmRecord>, read: MonoTime) -> Self {
        let rows: SortedTable<_, _> = records
            .into_iter()
            .map(|record| (record.name.clone(), record))
            .collect();
        Self {
            rows: Arc::new(rows),
            read: Some(read),
        }
    }

    /// The same list, read again at `read`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::MonoTime;
    /// use sapphirestile_daemon::vms::VmTable;
    ///
    /// let first = VmTable::new(Vec::new(), MonoTime::from_millis(1_000));
    /// let again = first.sighted(MonoTime::from_millis(2_000));
    /// assert_eq!(again.read(), Some(MonoTime::from_millis(2_000)));
    /// ```
    #[must_use]
    pub fn sighted(&self, read: MonoTime) -> Self {
        Self {
            rows: Arc::clone(&self.rows),
            read: Some(read),
        }
    }

    /// When the list was read; nothing before the first time.
    #[must_use]
    pub const fn read(&self) -> Option<MonoTime> {
        self.read
    }

    /// The VMs in the order of their names.
    #[must_use]
    pub fn records(&self) -> impl ExactSizeIterator<Item = &VmRecord> {
        self.rows.values()
    }

    /// Where a VM is reached.
    #[must_use]
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.rows.get(name)?.address.parse().ok()
    }

    /// Which worker shares the machine of a runner.
    #[must_use]
    pub fn shared_worker(&self, runner: &str) -> SharedWorker {
        let record = self.rows.get(runner);
        record.map_or(SharedWorker::Unknown, |record| record.worker.clone())
    }

    /// Whether a worker of this name is listed.
    #[must_use]
    pub fn lists_worker(&self, name: &str) -> bool {
        let record = self.rows.get(name);
        record.is_some_and(|record| record.kind == VmKind::Worker)
    }

    /// The names of all workers, those of no use now among them.
    pub fn worker_names(&self) -> impl Iterator<Item = &str> {
        let workers = self.rows.values();
        workers
            .filter(|record| record.kind == VmKind::Worker)
            .map(|record| record.name.as_str())
    }

    /// The workers for which `belongs` holds, with whether each takes work.
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
    let stays = record.state == VmState::Live;
    Some(WorkerFacts {
        worker: WorkerName::try_from(record.name.as_str()).ok()?,
        zone: record.zone.clone(),
        rack: record.rack.clone(),
        size: record.size.unwrap_or_default(),
        takes_work: stays && document.zone_takes_work(record.zone.as_str()),
    })
}
