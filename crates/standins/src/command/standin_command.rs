//! What the command line asks for.

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
use crate::vms::VmFaults;
use crate::vms::VmStandin;
use crate::worker::WorkerSettings;
use crate::worker::WorkerStandin;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::StepError;

/// One stand-in to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandinCommand {
    /// The store.
    Store(SocketAddr, StoreFaults),
    /// The list of VMs.
    Vms(SocketAddr, VmFaults),
    /// A runner.
    Runner(SocketAddr, RunnerSettings),
    /// A worker.
    Worker(SocketAddr, WorkerSettings),
}

impl StandinCommand {
    /// The parser of the command line.
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
        let store = store().to_options().descr("Serves the store");
        let store = store.command("store");
        let vms = vms().to_options().descr("Serves the list of VMs");
        let vms = vms.command("vms");
        let runner = runner().to_options().descr("Serves a runner");
        let runner = runner.command("runner");
        let worker = worker().to_options().descr("Serves a worker");
        let worker = worker.command("worker");
        construct!([store, vms, runner, worker])
            .to_options()
            .descr("Serves a small stand-in of the platform, for tests and for trying out")
    }

    /// Serves the stand-in until the process is killed. Its first line on
    /// standard output says where, as `{"listening":"127.0.0.1:2379"}`.
    ///
    /// # Errors
    ///
    /// [`StepError`] when the address cannot be bound.
    pub fn run(self) -> Result<(), Report<StepError>> {
        match self {
            Self::Store(address, faults) => serve(StoreStandin::start(address, faults)?),
            Self::Vms(address, faults) => serve(VmStandin::start(address, faults)?),
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

fn listen() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Address to listen on; port 0 takes any free port")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback()
}

fn number(name: &'static str, help: &'static str, fallback: u64) -> impl Parser<u64> {
    long(name)
        .help(help)
        .argument::<u64>("NUMBER")
        .fallback(fallback)
}

fn store() -> impl Parser<StandinCommand> {
    let delay = number("delay-ms", "Wait before each call", 0);
    construct!(listen(), delay).map(|(address, delay_ms)| {
        let faults = StoreFaults {
            delay_ms,
            ..StoreFaults::default()
        };
        StandinCommand::Store(address, faults)
    })
}

fn vms() -> impl Parser<StandinCommand> {
    let lag = number("lag-ms", "How far the list lags behind", 0);
    construct!(listen(), lag).map(|(address, lag_ms)| {
        let faults = VmFaults {
            lag_ms,
            ..VmFaults::default()
        };
        StandinCommand::Vms(address, faults)
    })
}

fn runner() -> impl Parser<StandinCommand> {
    let usual = RunnerSettings::default();
    let slots = long("slots")
        .help("Requests run at a time")
        .argument::<u32>("NUMBER")
        .fallback(usual.slots);
    let service = number("service-ms", "Run time of a request", usual.service_ms);
    let connect = number("connect-delay-ms", "Added wait of a new connection", 0);
    let request = number("request-delay-ms", "Added wait of each request", 0);
    construct!(listen(), slots, service, connect, request).map(
        move |(address, slots, service_ms, connect_delay_ms, request_delay_ms)| {
            let settings = RunnerSettings {
                slots,
                service_ms,
                connect_delay_ms,
                request_delay_ms,
                ..usual
            };
            StandinCommand::Runner(address, settings)
        },
    )
}

fn worker() -> impl Parser<StandinCommand> {
    let usual = WorkerSettings::default();
    let lag = number("usage-lag-ms", "Lag of usage reports", usual.usage_lag_ms);
    let usage = number(
        "usage-permille",
        "Used part of the declared size",
        usual.usage_permille,
    );
    let every = number(
        "checkpoint-every-ms",
        "Work between checkpoints",
        usual.checkpoint_every_ms,
    );
    construct!(listen(), size(), lag, usage, every).map(
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

fn size() -> impl Parser<ResourceSize> {
    let usual = WorkerSettings::default().size;
    let cpu_milli = number(
        "cpu-milli",
        "Processor time, in thousandths",
        usual.cpu_milli,
    );
    let memory_mb = number("memory-mb", "Memory, in mebibytes", usual.memory_mb);
    let accelerators = long("accelerators")
        .help("Whole accelerators")
        .argument::<u32>("NUMBER")
        .fallback(usual.accelerators);
    construct!(ResourceSize {
        cpu_milli,
        memory_mb,
        accelerators
    })
}
