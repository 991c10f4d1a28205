//! The daemon of sapphirestile.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use error_stack::Report;
use error_stack::ResultExt;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use sapphirestile_core::StepError;
use sapphirestile_daemon::cycle::DaemonCycle;
use sapphirestile_daemon::settings::DaemonSettings;

/// What the command line asks for.
struct DaemonArguments {
    check: bool,
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let settings = match read_settings(&arguments.settings) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    start_log();
    match run(settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(1)
        }
    }
}

fn arguments() -> OptionParser<DaemonArguments> {
    let check = long("check").help("check the settings and end").switch();
    let settings = positional::<PathBuf>("SETTINGS").help("the INI file of settings");
    construct!(DaemonArguments { check, settings })
        .to_options()
        .descr("The daemon of sapphirestile")
        .footer("Example: sapphirestiled --check entry-1.ini")
}

fn read_settings(path: &PathBuf) -> Result<DaemonSettings, Report<StepError>> {
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

fn run(settings: DaemonSettings) -> Result<bool, Report<StepError>> {
    let failed = || StepError::new("wait for signals", "own process");
    let mut signals = Signals::new([SIGTERM, SIGINT]).change_context_lazy(failed)?;
    let serving = DaemonCycle::start(settings)?.serve()?;
    let addresses = serde_json::to_string(&serving.addresses()).change_context_lazy(failed)?;
    println!("{addresses}");
    signals.forever().next();
    Ok(serving.drain().finish())
}
