//! Stand-ins of the platform inside this process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use error_stack::Report;

use sapphirestile_core::RackName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::StepError;
use sapphirestile_core::ZoneName;
use sapphirestile_standins::runner::RunnerSettings;
use sapphirestile_standins::runner::RunnerStandin;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_standins::store::StoreStandin;
use sapphirestile_standins::vms::VmFaults;
use sapphirestile_standins::vms::VmStandin;
use sapphirestile_standins::worker::WorkerSettings;
use sapphirestile_standins::worker::WorkerStandin;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::vms::VmState;

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const ZONES: [&str; 3] = ["near-a", "near-b", "near-c"];
const SERVICE: &str = "sizing";

/// A store, a list of VMs, and a runner and a worker in each of three zones.
pub struct TryoutPlatform {
    store: StoreStandin,
    vms: VmStandin,
    _runners: Vec<RunnerStandin>,
    _workers: Vec<WorkerStandin>,
}

impl TryoutPlatform {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub fn start() -> Result<Self, Report<StepError>> {
        let store = StoreStandin::start(ANY_PORT, StoreFaults::default())?;
        let vms = VmStandin::start(ANY_PORT, VmFaults::default())?;
        let mut records = Vec::new();
        let mut runners = Vec::new();
        let mut workers = Vec::new();
        for zone in ZONES {
            let runner = RunnerStandin::start(ANY_PORT, RunnerSettings::default())?;
            records.push(runner_record(zone, runner.address()));
            runners.push(runner);
            let settings = WorkerSettings::default();
            let worker = WorkerStandin::start(ANY_PORT, settings)?;
            records.push(worker_record(zone, worker.address(), &settings));
            workers.push(worker);
        }
        vms.service().replace(records);
        Ok(Self {
            store,
            vms,
            _runners: runners,
            _workers: workers,
        })
    }

    /// Where the store answers.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.store.address()
    }

    /// Where the list of VMs is.
    #[must_use]
    pub fn vms(&self) -> SocketAddr {
        self.vms.address()
    }

    /// A configuration that fits these stand-ins.
    #[must_use]
    pub fn document() -> String {
        let mut text = "[region near]\ncells = 1\n".to_owned();
        for zone in ZONES {
            let region = zone.split('-').next().unwrap_or(zone);
            text.push_str(&format!("[zone {zone}]\nregion = {region}\nstate = in\n"));
        }
        text.push_str("[service sizing]\nslots = 8\nconnections = 64\nidempotent = true\n");
        text.push_str("[customer kennels]\ncpu_milli = 64000\nmemory_mb = 250000\n");
        text
    }
}

fn runner_record(zone: &str, address: SocketAddr) -> VmRecord {
    VmRecord {
        name: format!("runner-{zone}"),
        kind: VmKind::Runner,
        address: address.to_string(),
        zone: zone_name(zone),
        rack: None,
        service: ServiceName::try_from(SERVICE).ok(),
        size: None,
        state: VmState::Live,
    }
}

fn worker_record(zone: &str, address: SocketAddr, settings: &WorkerSettings) -> VmRecord {
    VmRecord {
        name: format!("worker-{zone}"),
        kind: VmKind::Worker,
        address: address.to_string(),
        zone: zone_name(zone),
        rack: RackName::try_from(format!("rack-{zone}")).ok(),
        service: None,
        size: Some(settings.size),
        state: VmState::Live,
    }
}

fn zone_name(zone: &str) -> ZoneName {
    ZoneName::try_from(zone).expect("the zones of the try-out have valid names")
}
