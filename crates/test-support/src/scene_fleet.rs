//! Daemons on a fleet of stand-ins.

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

/// The operators' token, and the secret of the daemons.
pub const TOKEN: &str = "a-token-for-tests-only";

/// Daemons as real processes on a platform of stand-ins inside the test.
pub struct SceneFleet {
    binary: PathBuf,
    folder: PathBuf,
    platform: StandinFleet,
    limits: String,
}

impl SceneFleet {
    /// Starts the platform. `folder` takes settings and logs.
    ///
    /// # Panics
    ///
    /// When a port cannot be bound or the folder cannot be made.
    #[must_use]
    pub fn start(binary: &str, folder: &str, plan: FleetPlan) -> Self {
        let folder = PathBuf::from(folder);
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        Self {
            binary: PathBuf::from(binary),
            folder,
            platform: StandinFleet::start(plan).expect("the platform starts"),
            limits: "heartbeat_ms = 100\nsuspect_ms = 1000\n".to_owned(),
        }
    }

    /// The platform's stand-ins.
    #[must_use]
    pub const fn platform(&self) -> &StandinFleet {
        &self.platform
    }

    /// Replaces the `[limits]` of daemons started from now on.
    pub fn set_limits(&mut self, limits: &str) {
        limits.clone_into(&mut self.limits);
    }

    /// Starts a daemon on ports that the operating system chooses.
    ///
    /// # Panics
    ///
    /// When the daemon does not start.
    #[must_use]
    pub fn daemon(&self, name: &str, zone: &str, seeds: &[SocketAddr]) -> DaemonProcess {
        self.daemon_via(name, zone, seeds, self.platform.store().address())
    }

    /// Starts a daemon that reaches the store at `store`.
    ///
    /// # Panics
    ///
    /// When the daemon does not start.
    #[must_use]
    pub fn daemon_via(
        &self,
        name: &str,
        zone: &str,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> DaemonProcess {
        let path = self.folder.join(format!("{name}.ini"));
        let settings = self.settings(name, zone, seeds, store);
        std::fs::write(&path, settings).expect("settings can be written");
        DaemonProcess::start(&self.binary, &path)
    }

    /// Puts the fleet's document in force through one daemon.
    ///
    /// # Panics
    ///
    /// When it is not accepted.
    pub fn put_document(&self, operators: SocketAddr) -> u64 {
        let change = json!({
            "based_on": 0,
            "text": self.platform.document(),
            "author": "operator-1",
        });
        let (status, answer) = wait_until("the document is accepted", || {
            call_json(operators, "PUT", "/v1/document", &change)
                .filter(|(status, _)| *status == 200)
        });
        assert_eq!(status, 200, "{answer}");
        answer["revision"].as_u64().expect("a revision is a number")
    }

    /// Waits until every cell is owned by one of the daemons.
    pub fn wait_owned(&self, operators: &[SocketAddr], cells: usize) {
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
        // Writing into a text cannot fail.
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

/// The cells that a daemon says it owns.
fn owned_cells(operators: SocketAddr) -> Vec<Value> {
    let status = call_json(operators, "GET", "/v1/status", &Value::Null);
    let cells = status.and_then(|(_, status)| status["cells"].as_array().cloned());
    cells.unwrap_or_default()
}
