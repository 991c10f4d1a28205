//! The daemon `sapphirestiled`: command line, log and signals.

use std::backtrace::Backtrace;
use std::panic::Location;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use error_stack::Report;
use error_stack::ResultExt;
use error_stack::fmt::ColorMode;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use sapphirestile_core::StepError;
use sapphirestile_daemon::lifecycle::DaemonLifecycle;
use sapphirestile_daemon::panics::PanicHook;
use sapphirestile_daemon::settings::DaemonSettings;
use sapphirestile_daemon::tryout::TryoutRun;
use sapphirestile_entry::LogQueue;
use sapphirestile_platform::DeployedDaemon;

/// The exit status after an error.
const EXIT_FAILED: u8 = 1;

/// The exit status when a planned stop did not release every cell or answer every request
/// in time.
const EXIT_INCOMPLETE: u8 = 3;

/// The longest time that the end of a process waits for its last log lines to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// The mode that the command line selects.
#[derive(Clone)]
enum DaemonMode {
    /// Serve with the settings in a file.
    Serve(PathBuf),
    /// Serve on the users' platform, with the settings that the platform provides.
    Deployed,
    /// Check the settings in a file and exit.
    Check(PathBuf),
    /// Serve one request and run one job with platform stand-ins in this process.
    Try {
        /// Whether to keep serving afterwards until interrupted.
        stay: bool,
    },
}

fn main() -> ExitCode {
    PanicHook::install();
    configure_error_reports();
    let result = match command_line().run() {
        DaemonMode::Check(path) => check_settings(&path),
        DaemonMode::Serve(path) => read_settings(&path).and_then(serve),
        DaemonMode::Deployed => serve_deployed(),
        DaemonMode::Try { stay } => run_tryout(stay),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_INCOMPLETE),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Reduces error reports to steps, peers and errors: source locations and backtraces would
/// hide these, and escape sequences for colours are not wanted in JSON logs.
fn configure_error_reports() {
    Report::set_color_mode(ColorMode::None);
    Report::install_debug_hook::<Location<'static>>(|_location, _context| {});
    Report::install_debug_hook::<Backtrace>(|_backtrace, _context| {});
}

fn command_line() -> OptionParser<DaemonMode> {
    let path = || positional::<PathBuf>("SETTINGS").help("the INI file of settings");
    let stay = long("stay")
        .help("go on serving until interrupted")
        .switch();
    let try_out = long("try")
        .help("try out: platform stand-ins inside this process, one request, one job")
        .req_flag(());
    let try_out = construct!(try_out, stay).map(|((), stay)| DaemonMode::Try { stay });
    let check = long("check")
        .help("check the settings and end")
        .req_flag(());
    let check = construct!(check, path()).map(|((), path)| DaemonMode::Check(path));
    let deployed = long("deployed")
        .help("serve on the users' platform, with the settings that it puts in place")
        .req_flag(DaemonMode::Deployed);
    let serve = path().map(DaemonMode::Serve);
    construct!([try_out, check, deployed, serve])
        .to_options()
        .descr("The daemon of sapphirestile")
        .footer("Examples: sapphirestiled --try, sapphirestiled --check entry-1.ini")
}

/// Validates the settings in a file.
fn check_settings(path: &Path) -> Result<bool, Report<StepError>> {
    read_settings(path)?;
    println!("the settings are valid");
    Ok(true)
}

fn run_tryout(stay: bool) -> Result<bool, Report<StepError>> {
    let tryout = TryoutRun::start()?;
    for line in tryout.run_workload()? {
        println!("{line}");
    }
    if stay {
        println!("serving until interrupted");
        wait_for_signal()?;
    }
    Ok(tryout.finish())
}

fn read_settings(path: &Path) -> Result<DaemonSettings, Report<StepError>> {
    let failed = || StepError::new("read settings", &path.display().to_string());
    let text = std::fs::read_to_string(path).change_context_lazy(failed)?;
    DaemonSettings::try_from(text.as_str()).change_context_lazy(failed)
}

fn init_log() {
    tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .with_env_filter(
            tracing_subscriber::EnvFilter::from_default_env()
                .add_directive(tracing::Level::INFO.into()),
        )
        .init();
}

/// Serves with the settings in a file, and prints the addresses of the ports to standard
/// output as JSON.
fn serve(settings: DaemonSettings) -> Result<bool, Report<StepError>> {
    init_log();
    let failed = || StepError::new("print addresses", "standard output");
    let serving = DaemonLifecycle::start(settings)?.serve()?;
    let addresses = serde_json::to_string(&serving.addresses()).change_context_lazy(failed)?;
    println!("{addresses}");
    wait_for_signal()?;
    Ok(serving.drain().finish())
}

/// Serves on the users' platform. Signal handlers are installed first: without one, a
/// SIGHUP for changed settings during startup would terminate the process.
fn serve_deployed() -> Result<bool, Report<StepError>> {
    let mut signals = install_signal_handlers()?;
    let log = init_deployed_log();
    let serving = DeployedDaemon::start(DeployedDaemon::read_settings()?)?;
    wait_for_stop(&mut signals);
    let is_complete = serving.drain().finish();
    // Nothing is left to do if the platform does not read the last lines in time.
    let _flushed = log.flush(LOG_FLUSH_TIMEOUT);
    Ok(is_complete)
}

/// Logs to standard output, where the platform reads logs, through a queue, so that no
/// thread waits for the reader.
fn init_deployed_log() -> LogQueue {
    let log = LogQueue::to(std::io::stdout());
    tracing_subscriber::fmt()
        .json()
        .with_writer(log.clone())
        .with_env_filter(
            tracing_subscriber::EnvFilter::from_default_env()
                .add_directive(tracing::Level::INFO.into()),
        )
        .init();
    log
}

fn install_signal_handlers() -> Result<Signals, Report<StepError>> {
    let failed = || StepError::new("install signal handlers", "own process");
    Signals::new([SIGTERM, SIGINT, SIGHUP]).change_context_lazy(failed)
}

/// Waits for SIGTERM or SIGINT. On SIGHUP, the settings are only read and validated;
/// changed settings take effect at the next start.
fn wait_for_stop(signals: &mut Signals) {
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        match DeployedDaemon::read_settings() {
            Ok(_) => tracing::info!("settings valid; changes take effect at the next start"),
            Err(report) => tracing::error!(?report, "changed settings cannot be used"),
        }
    }
}

fn wait_for_signal() -> Result<(), Report<StepError>> {
    let failed = || StepError::new("wait for signals", "own process");
    let mut signals = Signals::new([SIGTERM, SIGINT]).change_context_lazy(failed)?;
    signals.forever().next();
    Ok(())
}
