//! A worker under test.

use std::sync::Arc;

use sapphirestile_platform_standins::SiteBodies;
use sapphirestile_platform_standins::StoreStandin;
use sapphirestile_platform_standins::WorkerFleet;
use sapphirestile_platform_standins::open_port;
use sapphirestile_serving::HttpPort;
use sapphirestile_serving::HttpService;
use sapphirestile_test_support::FaultProxy;
use sapphirestile_test_support::ProxyMode;

use crate::worker_return::WorkerReturn;

/// The maximum number of connections of a worker, for all daemons.
const CONNECTIONS_MAX: usize = 64;

/// A worker that can lose its power, behind a link that can fail by itself, with its entry
/// in the store.
pub struct SoakWorker {
    index: usize,
    name: String,
    rack: String,
    fleet: Arc<WorkerFleet>,
    store: Arc<StoreStandin>,
    /// Closes all connections while the worker has no power.
    power: FaultProxy,
    link: FaultProxy,
    /// The name under which the worker lost its power, until its entry is removed.
    lost_name: Option<String>,
    has_power: bool,
    _port: HttpPort,
}

impl SoakWorker {
    /// Starts the worker at `index` of the fleet, and writes its entry.
    pub fn start(
        fleet: &Arc<WorkerFleet>,
        index: usize,
        store: &Arc<StoreStandin>,
        rack: &str,
    ) -> Self {
        let service: Arc<dyn HttpService> = Arc::new(fleet.worker(index));
        let port = open_port(&service);
        let power = FaultProxy::start(port.address());
        let link = FaultProxy::start_with_limit(power.address(), CONNECTIONS_MAX);
        let name = format!("i-{index}");
        let entry = SiteBodies::worker_entry_on_rack(link.address(), rack);
        store.put(&SiteBodies::worker_key(&name), &entry);
        Self {
            index,
            name,
            rack: rack.to_owned(),
            fleet: Arc::clone(fleet),
            store: Arc::clone(store),
            power,
            link,
            lost_name: None,
            has_power: true,
            _port: port,
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether it has power, and no entry of an earlier life is left.
    pub const fn can_lose_power(&self) -> bool {
        self.has_power && self.lost_name.is_none()
    }

    pub const fn has_power(&self) -> bool {
        self.has_power
    }

    /// Changes the link of all daemons to the worker.
    pub fn set_link(&self, mode: ProxyMode) {
        self.link.set_mode(mode);
    }

    /// Lets the open connections of all daemons to the worker go silent; new ones work.
    pub fn silence_link(&self) {
        self.link.silence_open();
    }

    /// Takes the worker's power. Its entry stays until [`Self::remove_lost_entry`].
    pub fn lose_power(&mut self) {
        self.power.disconnect();
        self.fleet.lose_power(self.index);
        self.lost_name = Some(self.name.clone());
        self.has_power = false;
    }

    /// Starts the worker's next life, and writes its entry, which replaces that of the last
    /// life if the name is the same.
    pub fn restore_power(&mut self, how: WorkerReturn) {
        match how {
            WorkerReturn::SameName => self.lost_name = None,
            WorkerReturn::OtherName => self.name = format!("{}-next", self.name),
            WorkerReturn::Never => return,
        }
        let born_ms = self.fleet.restore_power(self.index, &self.name);
        self.power.restore();
        let address = self.link.address();
        let entry = SiteBodies::restarted_worker_entry(address, &self.rack, born_ms);
        self.store.put(&SiteBodies::worker_key(&self.name), &entry);
        self.has_power = true;
    }

    /// Removes the entry of the life that ended, unless the worker came back under its name.
    pub fn remove_lost_entry(&mut self) {
        if let Some(name) = self.lost_name.take() {
            self.store.remove(&SiteBodies::worker_key(&name));
        }
    }
}
