//! The parsed command line.

use std::io::Write;
use std::net::SocketAddr;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use error_stack::Report;

use crate::runner::RunnerSettings;
use crate::runner::RunnerStandin;
use crate::serving::StandinServer;
use crate::serving::StandinService;
use crate::store::StoreFaults;
use crate::store::StoreStandin;
use crate::vms::VmListFaults;
use crate::vms::VmListStandin;
use crate::worker::WorkerSettings;
use crate::worker::WorkerStandin;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::StepError;

/// Which stand-in to serve, with the address to listen on and its initial faults or settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandinCommand {
    /// Serves the store.
    Store(SocketAddr, StoreFaults),
    /// Serves the list of VMs, which is empty at first.
    Vms(SocketAddr, VmListFaults),
    /// Serves a runner.
    Runner(SocketAddr, RunnerSettings),
    /// Serves a worker.
    Worker(SocketAddr, WorkerSettings),
}

impl StandinCommand {
    /// Builds the command line parser.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_standins::command::StandinCommand;
    ///
    /// let options = StandinCommand::options();
    /// let command = options.run_inner(&["vms", "--lag-ms", "500"]).unwrap();
    /// let StandinCommand::Vms(address, faults) = command else { panic!() };
    /// assert_eq!(address.to_string(), "127.0.0.1:0");
    /// assert_eq!(faults.lag_ms, 500);
    /// ```
    #[must_use]
    pub fn options() -> OptionParser<Self> {
        let store = store_parser().to_options().descr("Serves the store");
        let store = store.command("store");
        let vms = vms_parser().to_options().descr("Serves the list of VMs");
        let vms = vms.command("vms");
        let runner = runner_parser().to_options().descr("Serves a runner");
        let runner = runner.command("runner");
        let worker = worker_parser().to_options().descr("Serves a worker");
        let worker = worker.command("worker");
        construct!([store, vms, runner, worker])
            .to_options()
            .descr("Serves a small stand-in of the platform, for tests and local trials")
    }

    /// Serves the stand-in until the process is killed. Prints the address that it listens on
    /// as the first line of standard output, such as `{"listening":"127.0.0.1:2379"}`.
    ///
    /// # Errors
    ///
    /// [`StepError`] when the address cannot be bound or printed, or the server fails.
    pub fn run(self) -> Result<(), Report<StepError>> {
        match self {
            Self::Store(address, faults) => serve(StoreStandin::start(address, faults)?),
            Self::Vms(address, faults) => serve(VmListStandin::start(address, faults)?),
            Self::Runner(address, settings) => serve(RunnerStandin::start(address, settings)?),
            Self::Worker(address, settings) => serve(WorkerStandin::start(address, settings)?),
        }
    }
}

fn serve<Service: StandinService>(
    standin: StandinServer<Service>,
) -> Result<(), Report<StepError>> {
    let line = serde_json::json!({ "listening": standin.address().to_string() });
    let mut output = std::io::stdout().lock();
    let written = writeln!(output, "{line}").and_then(|()| output.flush());
    drop(output);
    written.map_err(|error| {
        Report::new(error).change_context(StepError::new("print address", "standard output"))
    })?;
    standin.join()
}

fn listen_option() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Address to listen on; port 0 takes any free port")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback()
}

fn number_option(name: &'static str, help: &'static str, fallback: u64) -> impl Parser<u64> {
    long(name)
        .help(help)
        .argument::<u64>("NUMBER")
        .fallback(fallback)
}

fn store_parser() -> impl Parser<StandinCommand> {
    let delay = number_option("delay-ms", "Delay of each request, in milliseconds", 0);
    construct!(listen_option(), delay).map(|(address, delay_ms)| {
        let faults = StoreFaults {
            delay_ms,
            ..StoreFaults::default()
        };
        StandinCommand::Store(address, faults)
    })
}

fn vms_parser() -> impl Parser<StandinCommand> {
    let lag = number_option(
        "lag-ms",
        "Age of the list that is served, in milliseconds",
        0,
    );
    construct!(listen_option(), lag).map(|(address, lag_ms)| {
        let faults = VmListFaults {
            lag_ms,
            ..VmListFaults::default()
        };
        StandinCommand::Vms(address, faults)
    })
}

fn runner_parser() -> impl Parser<StandinCommand> {
    let defaults = RunnerSettings::default();
    let slots = long("slots")
        .help("Maximum number of requests that run at the same time")
        .argument::<u32>("NUMBER")
        .fallback(defaults.slots);
    let service = number_option(
        "service-ms",
        "Run time of a request, in milliseconds",
        defaults.service_ms,
    );
    let connect = number_option(
        "connect-delay-ms",
        "Additional delay of the first request on a connection, in milliseconds",
        0,
    );
    let request = number_option(
        "request-delay-ms",
        "Additional delay of each request, in milliseconds",
        0,
    );
    construct!(listen_option(), slots, service, connect, request).map(
        move |(address, slots, service_ms, connect_delay_ms, request_delay_ms)| {
            let settings = RunnerSettings {
                slots,
                service_ms,
                connect_delay_ms,
                request_delay_ms,
                ..defaults
            };
            StandinCommand::Runner(address, settings)
        },
    )
}

fn worker_parser() -> impl Parser<StandinCommand> {
    let defaults = WorkerSettings::default();
    let lag = number_option(
        "usage-lag-ms",
        "Age of the usage in reports, in milliseconds",
        defaults.usage_lag_ms,
    );
    let usage = number_option(
        "usage-permille",
        "Part of the declared size that tasks use, in thousandths",
        defaults.usage_permille,
    );
    let interval = number_option(
        "checkpoint-every-ms",
        "Work between two checkpoints, in milliseconds of run time",
        defaults.checkpoint_every_ms,
    );
    construct!(listen_option(), size_options(), lag, usage, interval).map(
        |(address, size, usage_lag_ms, usage_permille, checkpoint_every_ms)| {
            let settings = WorkerSettings {
                size,
                usage_lag_ms,
                usage_permille,
                checkpoint_every_ms,
            };
            StandinCommand::Worker(address, settings)
        },
    )
}

fn size_options() -> impl Parser<ResourceSize> {
    let defaults = WorkerSettings::default().size;
    let cpu_milli = number_option(
        "cpu-milli",
        "CPU for tasks, in thousandths of a core",
        defaults.cpu_milli,
    );
    let memory_mb = number_option(
        "memory-mb",
        "Memory for tasks, in mebibytes",
        defaults.memory_mb,
    );
    let accelerators = long("accelerators")
        .help("Number of accelerators for tasks")
        .argument::<u32>("NUMBER")
        .fallback(defaults.accelerators);
    construct!(ResourceSize {
        cpu_milli,
        memory_mb,
        accelerators
    })
}
