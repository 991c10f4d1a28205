//! Daemons on a simulated platform.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;

use crate::DaemonProcess;
use crate::call_json;
use crate::wait_until;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::fleet::StandinFleet;

/// The token of operators' requests, which is also the secret shared by the daemons for
/// messages to each other.
pub const TOKEN: &str = "a-token-for-tests-only";

/// Starts daemons as child processes on a platform of stand-ins inside the test process.
pub struct TestFleet {
    binary: PathBuf,
    folder: PathBuf,
    platform: StandinFleet,
    /// The lines of the section `[limits]` in the settings of daemons started next.
    limits: String,
}

impl TestFleet {
    /// Starts the platform. `binary` is the path of the daemon's program; the settings and
    /// the logs of daemons are written to `folder`.
    ///
    /// # Panics
    ///
    /// When a port cannot be bound or the folder cannot be created.
    #[must_use]
    pub fn start(binary: &str, folder: &str, plan: FleetPlan) -> Self {
        let folder = PathBuf::from(folder);
        std::fs::create_dir_all(&folder).expect("create the folder for settings and logs");
        Self {
            binary: PathBuf::from(binary),
            folder,
            platform: StandinFleet::start(plan).expect("start the stand-ins of the platform"),
            limits: "heartbeat_ms = 100\nsuspect_ms = 1000\n".to_owned(),
        }
    }

    /// The stand-ins of the platform, to inject faults and to read counts.
    #[must_use]
    pub const fn platform(&self) -> &StandinFleet {
        &self.platform
    }

    /// Replaces the lines of the section `[limits]` in the settings of daemons started from
    /// now on. By default they are `heartbeat_ms = 100` and `suspect_ms = 1000`.
    pub fn set_limits(&mut self, limits: &str) {
        limits.clone_into(&mut self.limits);
    }

    /// Starts a daemon on ports that the operating system chooses. `seeds` are the peers'
    /// addresses of daemons to join; the region is the part of `zone` before the first `-`.
    ///
    /// # Panics
    ///
    /// When the daemon does not start.
    #[must_use]
    pub fn start_daemon(&self, name: &str, zone: &str, seeds: &[SocketAddr]) -> DaemonProcess {
        self.start_daemon_with_store(name, zone, seeds, self.platform.store().address())
    }

    /// As [`Self::start_daemon`], with another address for the store, such as that of a
    /// [`FaultProxy`](crate::FaultProxy).
    ///
    /// # Panics
    ///
    /// When the daemon does not start.
    #[must_use]
    pub fn start_daemon_with_store(
        &self,
        name: &str,
        zone: &str,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> DaemonProcess {
        let path = self.folder.join(format!("{name}.ini"));
        let settings = self.settings(name, zone, seeds, store);
        std::fs::write(&path, settings).expect("write the settings file of the daemon");
        DaemonProcess::start(&self.binary, &path)
    }

    /// Sends the configuration document of the fleet to one daemon, as the first revision,
    /// until it is accepted. Returns the new revision.
    ///
    /// # Panics
    ///
    /// When it is not accepted within the time of [`wait_until`].
    pub fn put_document(&self, operators: SocketAddr) -> u64 {
        let change = json!({
            "based_on": 0,
            "text": self.platform.document(),
            "author": "operator-1",
        });
        let (status, response) = wait_until("the configuration document is accepted", || {
            call_json(operators, "PUT", "/v1/document", &change)
                .filter(|(status, _)| *status == 200)
        });
        assert_eq!(status, 200, "{response}");
        response["revision"]
            .as_u64()
            .expect("the revision of the response is a number")
    }

    /// Waits until the daemons behind the `operators` addresses own `cells` cells in total.
    ///
    /// # Panics
    ///
    /// When they do not within the time of [`wait_until`].
    pub fn wait_until_owned(&self, operators: &[SocketAddr], cells: usize) {
        wait_until("every cell is owned", || {
            let owned: usize = operators
                .iter()
                .map(|address| owned_cells(*address).len())
                .sum();
            (owned == cells).then_some(())
        });
    }

    fn settings(&self, name: &str, zone: &str, seeds: &[SocketAddr], store: SocketAddr) -> String {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let region = zone.split('-').next().unwrap_or(zone);
        let mut text = format!("[daemon]\nname = {name}\nzone = {zone}\nregion = {region}\n");
        // Writing to a `String` cannot fail.
        for port in ["callers", "operators", "peers"] {
            let _written = writeln!(text, "{port} = 127.0.0.1:0");
        }
        let vms = self.platform.vms().address();
        let _written = writeln!(text, "[platform]\nstore = {store}\nvms = {vms}");
        let _written = writeln!(text, "[peers]\nkey = {TOKEN}\nseeds = {}", seeds.join(", "));
        let _written = writeln!(
            text,
            "[operators]\ntoken = {TOKEN}\n[limits]\n{}",
            self.limits
        );
        text
    }
}

/// The cells that a daemon says it owns; none when it does not respond.
fn owned_cells(operators: SocketAddr) -> Vec<Value> {
    let status = call_json(operators, "GET", "/v1/status", &Value::Null);
    let cells = status.and_then(|(_, status)| status["cells"].as_array().cloned());
    cells.unwrap_or_default()
}
