//! A daemon as a real process.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;

/// A daemon as a real process; killed when dropped.
pub struct DaemonProcess {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

impl DaemonProcess {
    /// Starts `binary` with a file of settings and waits for its addresses.
    ///
    /// # Panics
    ///
    /// When the process does not start or ends before it has said them.
    #[must_use]
    pub fn start(binary: &Path, settings: &Path) -> Self {
        let mut child = Command::new(binary)
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_of(settings))
            .spawn()
            .expect("the daemon starts");
        let output = child.stdout.take().expect("the daemon's output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the daemon writes a line");
        let addresses: Value = serde_json::from_str(&line).expect("the line names addresses");
        let address = |port: &str| {
            let text = addresses[port].as_str().expect("an address is a text");
            text.parse().expect("an address is an IP number and a port")
        };
        Self {
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
            child,
        }
    }

    /// The process's number.
    #[must_use]
    pub fn number(&self) -> u32 {
        self.child.id()
    }

    /// The callers' port.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// The operators' port.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// The peers' port.
    #[must_use]
    pub const fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Kills the process at once.
    ///
    /// # Panics
    ///
    /// When it cannot be waited for.
    pub fn kill(mut self) {
        self.signal(Signal::SIGKILL);
        self.child.wait().expect("a killed process ends");
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks for a planned stop and waits for its end.
    ///
    /// # Panics
    ///
    /// When the process cannot be waited for.
    #[must_use]
    pub fn stop(mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.child.wait().expect("a stopped process ends")
    }

    /// Asks for a planned stop and does not wait.
    pub fn ask_stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits for the end of the process.
    ///
    /// # Panics
    ///
    /// When the process cannot be waited for.
    #[must_use]
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }

    fn signal(&self, signal: Signal) {
        let process = i32::try_from(self.child.id()).expect("a process number fits");
        // The process may have ended by itself.
        let _sent = kill(Pid::from_raw(process), signal);
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

/// The daemon's log stands beside its settings.
fn log_of(settings: &Path) -> Stdio {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .expect("the log can be written");
    Stdio::from(log)
}
