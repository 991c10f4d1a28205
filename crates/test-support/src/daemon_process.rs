//! A daemon as a child process of the test.

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

/// A daemon as a child process of the test; killed when dropped.
pub struct DaemonProcess {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

impl DaemonProcess {
    /// Starts `binary` with a settings file and waits until it has printed the addresses of
    /// its ports as one JSON line. Its log is appended to the file with the same name and
    /// the extension `log`.
    ///
    /// # Panics
    ///
    /// When the process cannot be started, or ends before it has printed its addresses.
    #[must_use]
    pub fn start(binary: &Path, settings: &Path) -> Self {
        let mut child = Command::new(binary)
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(open_log(settings))
            .spawn()
            .expect("start the daemon process");
        let output = child
            .stdout
            .take()
            .expect("the standard output of the daemon is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("read the address line of the daemon");
        let addresses: Value =
            serde_json::from_str(&line).expect("parse the address line of the daemon as JSON");
        let address = |port: &str| {
            let text = addresses[port]
                .as_str()
                .expect("the address of a port is a JSON string");
            text.parse()
                .expect("the address of a port is an IP address and a port number")
        };
        Self {
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
            child,
        }
    }

    /// The process ID, as the operating system gave it.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The address of the port for callers' requests.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// The address of the port for operators' requests.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// The address of the port for messages of other daemons.
    #[must_use]
    pub const fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Kills the process with `SIGKILL` and waits until it has ended.
    ///
    /// # Panics
    ///
    /// When the process cannot be waited for.
    pub fn kill(mut self) {
        self.signal(Signal::SIGKILL);
        self.child.wait().expect("wait for the killed daemon");
    }

    /// Suspends the process with `SIGSTOP`.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful shutdown with `SIGTERM` and waits until the process has ended.
    ///
    /// # Panics
    ///
    /// When the process cannot be waited for.
    #[must_use]
    pub fn stop(mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.child.wait().expect("wait for the stopped daemon")
    }

    /// Requests a graceful shutdown with `SIGTERM` and returns at once.
    pub fn request_stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits until the process has ended by itself or after [`Self::request_stop`].
    ///
    /// # Panics
    ///
    /// When the process cannot be waited for.
    #[must_use]
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().expect("wait for the daemon")
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process ID fits into 32 bits");
        // Fails when the process has ended already.
        let _sent = kill(Pid::from_raw(pid), signal);
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Both fail when the process has ended already.
        let _killed = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// Opens the daemon's log, beside its settings file.
fn open_log(settings: &Path) -> Stdio {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .expect("open the log file of the daemon");
    Stdio::from(log)
}
