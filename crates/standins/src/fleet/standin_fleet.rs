//! A running fleet of stand-ins.

use std::fmt::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use error_stack::Report;

use crate::fleet::FleetPlan;
use crate::machine::MachineLoad;
use crate::runner::RunnerService;
use crate::runner::RunnerStandin;
use crate::store::StoreFaults;
use crate::store::StoreStandin;
use crate::vms::VmFaults;
use crate::vms::VmStandin;
use crate::worker::WorkerService;
use crate::worker::WorkerStandin;
use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ServiceName;
use sapphirestile_core::StepError;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;
use sapphirestile_wire::vms::SharedWorker;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::vms::VmState;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A store, a list of VMs, and runners and workers in zones.
///
/// # Examples
///
/// ```
/// use sapphirestile_standins::fleet::FleetPlan;
/// use sapphirestile_standins::fleet::StandinFleet;
///
/// let fleet = StandinFleet::start(FleetPlan::default()).unwrap();
/// assert_eq!(fleet.workers().len(), 3);
/// assert!(fleet.document().contains("[zone far-c]"));
/// ```
pub struct StandinFleet {
    plan: FleetPlan,
    store: StoreStandin,
    vms: VmStandin,
    runners: Vec<RunnerStandin>,
    workers: Vec<WorkerStandin>,
    records: Mutex<Vec<VmRecord>>,
}

impl StandinFleet {
    /// The service that the runners run.
    pub const SERVICE: &'static str = "sizing";
    /// The customer that may submit jobs.
    pub const CUSTOMER: &'static str = "kennels";

    /// Starts the stand-ins on free ports.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub fn start(plan: FleetPlan) -> Result<Self, Report<StepError>> {
        let store = StoreStandin::start(ANY_PORT, StoreFaults::default())?;
        let vms = VmStandin::start(ANY_PORT, VmFaults::default())?;
        let mut fleet = Self {
            plan,
            store,
            vms,
            runners: Vec::new(),
            workers: Vec::new(),
            records: Mutex::default(),
        };
        for (zone, _) in fleet.plan.zones.clone() {
            fleet.start_zone(zone)?;
        }
        fleet.list();
        Ok(fleet)
    }

    /// The store.
    #[must_use]
    pub const fn store(&self) -> &StoreStandin {
        &self.store
    }

    /// The list of VMs.
    #[must_use]
    pub const fn vms(&self) -> &VmStandin {
        &self.vms
    }

    /// The runners, zone by zone.
    #[must_use]
    pub fn runners(&self) -> &[RunnerStandin] {
        &self.runners
    }

    /// The workers, zone by zone.
    #[must_use]
    pub fn workers(&self) -> &[WorkerStandin] {
        &self.workers
    }

    /// Lists a VM with another state.
    pub fn set_state(&self, name: &str, state: VmState) {
        self.change(|records| {
            for record in records.iter_mut().filter(|record| record.name == name) {
                record.state = state;
            }
        });
    }

    /// Takes a VM off the list.
    pub fn remove(&self, name: &str) {
        self.change(|records| records.retain(|record| record.name != name));
    }

    /// A document that fits the fleet.
    #[must_use]
    pub fn document(&self) -> String {
        let mut text = format!("[cells]\ncount = {}\n", self.plan.cells);
        let mut regions: Vec<&str> = self.plan.zones.iter().map(|(_, region)| *region).collect();
        regions.dedup();
        // Writing into a text cannot fail.
        for region in regions {
            let _written = writeln!(text, "[region {region}]\nlink_mbit = 30");
        }
        for (zone, region) in &self.plan.zones {
            let _written = writeln!(text, "[zone {zone}]\nregion = {region}\nstate = in");
        }
        let (slots, idempotent) = (self.plan.runner.slots, self.plan.idempotent);
        let _written = writeln!(
            text,
            "[service {}]\nslots = {slots}\nconnections = 64\nidempotent = {idempotent}",
            Self::SERVICE
        );
        let (customer, quota) = (Self::CUSTOMER, self.plan.quota);
        let ResourceSize {
            cpu_milli,
            memory_mb,
            accelerators,
        } = quota;
        let _written = writeln!(
            text,
            "[customer {customer}]\ncpu_milli = {cpu_milli}\nmemory_mb = {memory_mb}\naccelerators = {accelerators}"
        );
        text
    }

    fn start_zone(&mut self, zone: &'static str) -> Result<(), Report<StepError>> {
        let mut machines = Vec::new();
        machines.resize_with(
            self.plan.workers.max(self.plan.runners),
            MachineLoad::default,
        );
        for (place, load) in machines.iter().take(self.plan.runners).enumerate() {
            let service = RunnerService::beside(self.plan.runner, load.clone());
            let runner = RunnerStandin::serve(ANY_PORT, service)?;
            let service = ServiceName::try_from(Self::SERVICE).ok();
            let record = VmRecord {
                service,
                worker: self.worker_beside(zone, place),
                ..record_of(
                    VmKind::Runner,
                    &format!("runner-{zone}-{place}"),
                    zone,
                    runner.address(),
                )
            };
            self.change(|records| records.push(record));
            self.runners.push(runner);
        }
        for (place, load) in machines.iter().take(self.plan.workers).enumerate() {
            let service = WorkerService::beside(self.plan.worker, load.clone());
            let worker = WorkerStandin::serve(ANY_PORT, service)?;
            let record = VmRecord {
                rack: RackName::try_from(format!("rack-{zone}")).ok(),
                size: Some(self.plan.worker.size),
                ..record_of(
                    VmKind::Worker,
                    &format!("worker-{zone}-{place}"),
                    zone,
                    worker.address(),
                )
            };
            self.change(|records| records.push(record));
            self.workers.push(worker);
        }
        Ok(())
    }

    fn worker_beside(&self, zone: &str, place: usize) -> SharedWorker {
        if !self.plan.colocated || place >= self.plan.workers {
            return SharedWorker::Unknown;
        }
        let name = WorkerName::try_from(format!("worker-{zone}-{place}").as_str());
        SharedWorker::Named(name.expect("the zones of a plan have valid names"))
    }

    fn change(&self, change: impl FnOnce(&mut Vec<VmRecord>)) {
        change(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner));
        self.list();
    }

    fn list(&self) {
        let records = self
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        self.vms.service().replace(records);
    }
}

fn record_of(kind: VmKind, name: &str, zone: &str, address: SocketAddr) -> VmRecord {
    VmRecord {
        name: name.to_owned(),
        kind,
        address: address.to_string(),
        zone: ZoneName::try_from(zone).expect("the zones of a plan have valid names"),
        rack: None,
        service: None,
        worker: SharedWorker::Unknown,
        size: None,
        state: VmState::Live,
    }
}
