//! The daemon of sapphirestile.

use std::backtrace::Backtrace;
use std::panic::Location;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

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
use sapphirestile_daemon::settings::DaemonSettings;
use sapphirestile_daemon::tryout::TryoutRun;
use sapphirestile_entry::LogQueue;
use sapphirestile_platform::DeployedDaemon;

const EXIT_FAILED: u8 = 1;
const EXIT_INCOMPLETE: u8 = 3;

/// What the command line asks for.
#[derive(Clone)]
enum DaemonArguments {
    /// Serve with the settings of a file.
    Serve(PathBuf),
    /// Serve on the users' platform, with the settings that it puts in place.
    Deployed,
    /// Check the settings of a file and end.
    Check(PathBuf),
    /// Serve one request and run one job on embedded stand-ins.
    Try {
        /// Whether to go on serving afterwards.
        stay: bool,
    },
}

fn main() -> ExitCode {
    end_on_panic();
    report_plainly();
    let result = match arguments().run() {
        DaemonArguments::Check(path) => check(&path),
        DaemonArguments::Serve(path) => read_settings(&path).and_then(serve),
        DaemonArguments::Deployed => serve_deployed(),
        DaemonArguments::Try { stay } => try_out(stay),
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

/// A thread that panics has found an invariant broken. What it held would stand
/// still while the process still says that it holds it, so the process ends.
fn end_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
}

/// Reports name steps, peers and faults. Places in the source and backtraces would
/// bury these, and escape sequences of colours have no place in JSON.
fn report_plainly() {
    Report::set_color_mode(ColorMode::None);
    Report::install_debug_hook::<Location<'static>>(|_location, _context| {});
    Report::install_debug_hook::<Backtrace>(|_backtrace, _context| {});
}

fn arguments() -> OptionParser<DaemonArguments> {
    let path = || positional::<PathBuf>("SETTINGS").help("the INI file of settings");
    let stay = long("stay")
        .help("go on serving until interrupted")
        .switch();
    let try_out = long("try")
        .help("try out: platform stand-ins inside this process, one request, one job")
        .req_flag(());
    let try_out = construct!(try_out, stay).map(|((), stay)| DaemonArguments::Try { stay });
    let check = long("check")
        .help("check the settings and end")
        .req_flag(());
    let check = construct!(check, path()).map(|((), path)| DaemonArguments::Check(path));
    let deployed = long("deployed")
        .help("serve on the users' platform, with the settings that it puts in place")
        .req_flag(DaemonArguments::Deployed);
    let serve = path().map(DaemonArguments::Serve);
    construct!([try_out, check, deployed, serve])
        .to_options()
        .descr("The daemon of sapphirestile")
        .footer("Examples: sapphirestiled --try, sapphirestiled --check entry-1.ini")
}

fn check(path: &Path) -> Result<bool, Report<StepError>> {
    read_settings(path)?;
    println!("the settings are valid");
    Ok(true)
}

fn try_out(stay: bool) -> Result<bool, Report<StepError>> {
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

fn start_log() {
    tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .with_env_filter(
            tracing_subscriber::EnvFilter::from_default_env()
                .add_directive(tracing::Level::INFO.into()),
        )
        .init();
}

fn serve(settings: DaemonSettings) -> Result<bool, Report<StepError>> {
    start_log();
    let failed = || StepError::new("print addresses", "standard output");
    let serving = DaemonLifecycle::start(settings)?.serve()?;
    let addresses = serde_json::to_string(&serving.addresses()).change_context_lazy(failed)?;
    println!("{addresses}");
    wait_for_signal()?;
    Ok(serving.drain().finish())
}

/// Serves on the platform. Signals are taken before anything else is begun: one that
/// says that settings changed would end a process that does not take it yet.
fn serve_deployed() -> Result<bool, Report<StepError>> {
    let mut signals = take_signals()?;
    start_deployed_log();
    let serving = DeployedDaemon::start(DeployedDaemon::read_settings()?)?;
    wait_for_stop(&mut signals);
    Ok(serving.drain().finish())
}

/// On the platform logs are read from standard output, and nothing waits for their
/// reader.
fn start_deployed_log() {
    tracing_subscriber::fmt()
        .json()
        .with_writer(LogQueue::to(std::io::stdout()))
        .with_env_filter(
            tracing_subscriber::EnvFilter::from_default_env()
                .add_directive(tracing::Level::INFO.into()),
        )
        .init();
}

fn take_signals() -> Result<Signals, Report<StepError>> {
    let failed = || StepError::new("take signals", "own process");
    Signals::new([SIGTERM, SIGINT, SIGHUP]).change_context_lazy(failed)
}

/// Waits for the signal to stop. Settings that changed meanwhile are read and
/// checked; what they hold is in force from the next start.
fn wait_for_stop(signals: &mut Signals) {
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        match DeployedDaemon::read_settings() {
            Ok(_) => tracing::info!("settings were read again"),
            Err(report) => tracing::error!(?report, "settings cannot be read again"),
        }
    }
}

fn wait_for_signal() -> Result<(), Report<StepError>> {
    let failed = || StepError::new("wait for signals", "own process");
    let mut signals = Signals::new([SIGTERM, SIGINT]).change_context_lazy(failed)?;
    signals.forever().next();
    Ok(())
}
