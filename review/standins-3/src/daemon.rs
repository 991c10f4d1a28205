//! A deployed daemon as a process.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// What the deploy file runs.
const PROGRAM: &str = "target/release/sapphirestiled";
const ARGUMENT: &str = "--deployed";

pub struct Daemon {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

impl Daemon {
    /// Starts a daemon with settings as `deploy/settings.ini` gives them for a small deployment.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        [callers, ready, metrics]: [SocketAddr; 3],
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let settings = folder.join(format!("{name}.ini"));
        let text = format!(
            "[node]\nname = {name}\nzone = {zone}\ncpu_share = 0.25\norders = call\n\n\
             [ports]\ncallers = {callers}\nready = {ready}\nmetrics = {metrics}\n\n\
             [targets]\nstore = {store}\n\n\
             [bounds]\nlease_max_ms = 6000\nremember_s = 120\ngrace_s = 6\n\
             config_apply_ms = 2500\n"
        );
        std::fs::write(&settings, text)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env("SAPPHIRESTILE_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            child,
            name: name.to_owned(),
            callers,
            ready,
        })
    }
}

impl Daemon {
    /// Sends a signal to the process, by the name that `kill` has for it.
    pub fn signal(&self, name: &str) -> bool {
        let process = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &process]).status();
        sent.is_ok_and(|status| status.success())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
