//! A daemon process under test.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use sapphirestile_platform_standins::free_address;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");

/// The exit codes of a daemon after a planned stop: every request was answered, or not.
const STOP_EXIT_CODES: [i32; 2] = [0, 3];

/// The variable with the path of a deployed daemon's settings.
const SETTINGS_VARIABLE: &str = "SAPPHIRESTILE_SETTINGS";

/// The interval at which a test looks whether a process has started or ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A daemon process that can be restarted with the same settings and addresses.
pub struct SoakDaemon {
    settings: PathBuf,
    callers: SocketAddr,
    child: Option<Child>,
    /// The length of the log when the process was started, in bytes.
    log_start_bytes: u64,
}

impl SoakDaemon {
    /// Starts a daemon with its settings and its log in `folder`. It listens at an IP
    /// address that no other process uses, so that while it is down the operating system
    /// cannot give its port to another connection.
    pub fn start(folder: &Path, name: &str, address: Ipv4Addr, store: SocketAddr) -> Self {
        let (callers, ready) = {
            let _no_spawns = lock_spawns();
            (free_address(address), free_address(address))
        };
        let text = format!(
            "[node]\nname = {name}\nzone = near-a\norders = call\nworkers_per_cell = 2\n\
             [ports]\ncallers = {callers}\nready = {ready}\n\
             [targets]\nstore = {store}\n\
             [bounds]\nlease_max_ms = 6000\nremember_s = 300\ngrace_s = 4\n"
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("the settings file can be written");
        let mut daemon = Self {
            settings,
            callers,
            child: None,
            log_start_bytes: 0,
        };
        daemon.resume_or_restart();
        daemon
    }

    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let process_id = i32::try_from(child.id()).expect("a process ID fits in 31 bits");
            // The process may have ended by itself.
            let _sent = kill(Pid::from_raw(process_id), signal);
        }
    }

    /// Sends SIGHUP for changed settings, but only once the process has logged something:
    /// before its first log line it may not have installed its signal handlers.
    pub fn reload(&self) {
        if self.log_length() > self.log_start_bytes {
            self.signal(Signal::SIGHUP);
        }
    }

    /// The path of the log, which the processes with these settings append to.
    pub fn log_path(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    /// Waits until the process accepts callers.
    pub fn wait_for_start(&self) {
        while TcpStream::connect(self.callers).is_err() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the process has ended.
    pub fn wait_for_end(&mut self) {
        while self.is_running() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn log_length(&self) -> u64 {
        let log = std::fs::metadata(self.log_path());
        log.map_or(0, |log| log.len())
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        let status = child.map(Child::try_wait);
        status.is_some_and(|status| matches!(status, Ok(None)))
    }

    /// Resumes the process if it is frozen, and restarts it if it has ended.
    ///
    /// # Panics
    ///
    /// When the process ended without having been killed or asked to stop.
    pub fn resume_or_restart(&mut self) {
        self.signal(Signal::SIGCONT);
        if let Some(child) = &mut self.child {
            match child
                .try_wait()
                .expect("the status of the process can be read")
            {
                None => return,
                Some(status) => assert!(
                    was_stopped_by_test(status),
                    "the daemon with settings {} ended by itself: {status}",
                    self.settings.display()
                ),
            }
        }
        self.log_start_bytes = self.log_length();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path());
        let log = log.expect("the log file can be opened");
        let errors = log
            .try_clone()
            .expect("the handle of the log can be duplicated");
        // The kernel sends SIGHUP to an orphaned process group that has a stopped member.
        // Each daemon therefore gets its own group, whose parent is this process.
        let no_ports_chosen = lock_spawns();
        let child = Command::new(DAEMON)
            .process_group(0)
            .arg("--deployed")
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        drop(no_ports_chosen);
        self.child = Some(child.expect("the daemon process can be started"));
    }
}

/// Keeps processes from being started while free ports are chosen, since a new process
/// holds the sockets of all threads open until it executes its program.
fn lock_spawns() -> MutexGuard<'static, ()> {
    static SPAWNS: Mutex<()> = Mutex::new(());
    SPAWNS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a process ended because the test killed it or asked it to stop.
fn was_stopped_by_test(status: ExitStatus) -> bool {
    let signal = status.signal();
    let stop_signals = [Signal::SIGKILL, Signal::SIGTERM].map(|signal| Some(signal as i32));
    stop_signals.contains(&signal)
        || status
            .code()
            .is_some_and(|code| STOP_EXIT_CODES.contains(&code))
}

impl Drop for SoakDaemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may have ended already.
            let _killed = child.kill();
            let _ended = child.wait();
        }
    }
}
