//! A running platform of stand-ins.

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
use crate::vms::VmListFaults;
use crate::vms::VmListStandin;
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

/// A running store, list of VMs, and the runners and workers of each zone. All of them stop
/// when it is dropped. Runners are listed as `runner-ZONE-INDEX`, workers as
/// `worker-ZONE-INDEX`, with indexes from 0 in each zone.
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
    vms: VmListStandin,
    runners: Vec<RunnerStandin>,
    workers: Vec<WorkerStandin>,
    records: Mutex<Vec<VmRecord>>,
}

impl StandinFleet {
    /// The name of the service that every runner serves.
    pub const SERVICE: &'static str = "sizing";
    /// The name of the only customer in the document.
    pub const CUSTOMER: &'static str = "kennels";

    /// Starts all stand-ins on free loopback ports and lists the VMs.
    ///
    /// # Errors
    ///
    /// [`StepError`] when a port cannot be bound.
    pub fn start(plan: FleetPlan) -> Result<Self, Report<StepError>> {
        let store = StoreStandin::start(ANY_PORT, StoreFaults::default())?;
        let vms = VmListStandin::start(ANY_PORT, VmListFaults::default())?;
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
        fleet.publish_list();
        Ok(fleet)
    }

    /// The store, which is empty at first.
    #[must_use]
    pub const fn store(&self) -> &StoreStandin {
        &self.store
    }

    /// The service that serves the list of VMs.
    #[must_use]
    pub const fn vms(&self) -> &VmListStandin {
        &self.vms
    }

    /// The runners, in the order of the plan's zones, then of their indexes.
    #[must_use]
    pub fn runners(&self) -> &[RunnerStandin] {
        &self.runners
    }

    /// The workers, in the order of the plan's zones, then of their indexes.
    #[must_use]
    pub fn workers(&self) -> &[WorkerStandin] {
        &self.workers
    }

    /// Changes the state of the VM called `name` in the list. Does nothing when it is not
    /// listed.
    pub fn set_state(&self, name: &str, state: VmState) {
        self.update_records(|records| {
            for record in records.iter_mut().filter(|record| record.name == name) {
                record.state = state;
            }
        });
    }

    /// Removes the VM called `name` from the list; its stand-in keeps running.
    pub fn remove(&self, name: &str) {
        self.update_records(|records| records.retain(|record| record.name != name));
    }

    /// A configuration document with the cells, regions, zones, service and customer of the
    /// plan.
    #[must_use]
    pub fn document(&self) -> String {
        let mut text = format!("[cells]\ncount = {}\n", self.plan.cells);
        let mut regions: Vec<&str> = self.plan.zones.iter().map(|(_, region)| *region).collect();
        regions.dedup();
        // Writing to a `String` cannot fail.
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
        for (index, load) in machines.iter().take(self.plan.runners).enumerate() {
            let service = RunnerService::with_load(self.plan.runner, load.clone());
            let runner = RunnerStandin::serve(ANY_PORT, service)?;
            let service = ServiceName::try_from(Self::SERVICE).ok();
            let record = VmRecord {
                service,
                worker: self.colocated_worker(zone, index),
                ..vm_record(
                    VmKind::Runner,
                    &format!("runner-{zone}-{index}"),
                    zone,
                    runner.address(),
                )
            };
            self.update_records(|records| records.push(record));
            self.runners.push(runner);
        }
        for (index, load) in machines.iter().take(self.plan.workers).enumerate() {
            let service = WorkerService::with_load(self.plan.worker, load.clone());
            let worker = WorkerStandin::serve(ANY_PORT, service)?;
            let record = VmRecord {
                rack: RackName::try_from(format!("rack-{zone}")).ok(),
                size: Some(self.plan.worker.size),
                ..vm_record(
                    VmKind::Worker,
                    &format!("worker-{zone}-{index}"),
                    zone,
                    worker.address(),
                )
            };
            self.update_records(|records| records.push(record));
            self.workers.push(worker);
        }
        Ok(())
    }

    fn colocated_worker(&self, zone: &str, index: usize) -> SharedWorker {
        if !self.plan.colocated || index >= self.plan.workers {
            return SharedWorker::Unknown;
        }
        let name = WorkerName::try_from(format!("worker-{zone}-{index}").as_str());
        SharedWorker::Named(name.expect("zone names of a plan are valid"))
    }

    fn update_records(&self, update: impl FnOnce(&mut Vec<VmRecord>)) {
        update(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner));
        self.publish_list();
    }

    fn publish_list(&self) {
        let records = self
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        self.vms.service().replace(records);
    }
}

fn vm_record(kind: VmKind, name: &str, zone: &str, address: SocketAddr) -> VmRecord {
    VmRecord {
        name: name.to_owned(),
        kind,
        address: address.to_string(),
        zone: ZoneName::try_from(zone).expect("zone names of a plan are valid"),
        rack: None,
        service: None,
        worker: SharedWorker::Unknown,
        size: None,
        state: VmState::Live,
    }
}
