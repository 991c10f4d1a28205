//! Identity and location of the daemon.

use sapphirestile_core::DaemonName;
use sapphirestile_core::SectionReader;
use sapphirestile_core::ZoneName;

const SHARE_EXPECTED: &str = "a share of a processor from 0.001 to 1024";

/// How many workers an owner serves with a whole processor.
const WORKERS_PER_PROCESSOR: f64 = 240.0;

/// The number of workers that any daemon can serve.
const CELL_WORKERS_MIN: usize = 48;

const CELL_WORKERS_MAX: usize = 100_000;
const CELL_EXPECTED: &str = "a number of workers from 1 to 100000";

/// The supported way for workers to get their requests, which the settings call orders: the
/// daemon calls the workers.
const ORDERS_SUPPORTED: &str = "call";
const ORDERS_EXPECTED: &str = "call: workers that fetch their orders are not supported";

/// Identity and location of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The daemon's name, as shown in the ownership row and in the log.
    pub name: DaemonName,
    /// The availability zone that the daemon runs in.
    pub zone: ZoneName,
    /// The processor share that the VM grants the daemon; 1.0 is one processor.
    pub cpu_share: f64,
    /// The number of workers per cell; `None` to derive it from the processor share.
    cell_workers: Option<usize>,
}

impl NodeSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let name = reader.checked("name", "a daemon's name");
        let zone = reader.checked("zone", "the name of an availability zone");
        let orders = reader.optional_text("orders").map(str::to_owned);
        if let Some(orders) = orders.filter(|orders| orders != ORDERS_SUPPORTED) {
            reader.fault("orders", &orders, ORDERS_EXPECTED);
        }
        let cpu_share = reader.ranged("cpu_share", Some(1.0), 0.001..=1_024.0, SHARE_EXPECTED);
        let cell_workers = match reader.optional_text("workers_per_cell") {
            Some(_) => reader.ranged(
                "workers_per_cell",
                None,
                1..=CELL_WORKERS_MAX,
                CELL_EXPECTED,
            ),
            None => None,
        };
        reader.finish();
        Some(Self {
            name: name?,
            zone: zone?,
            cpu_share: cpu_share?,
            cell_workers,
        })
    }

    /// The average number of workers per cell above which the owner of cell 0 adds cells.
    /// Owners with more processor time can serve more workers; a small fleet has one cell.
    #[must_use]
    pub fn workers_per_cell(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the share is positive and its range was checked"
        )]
        let by_share = (self.cpu_share * WORKERS_PER_PROCESSOR) as usize;
        self.cell_workers.unwrap_or(by_share.max(CELL_WORKERS_MIN))
    }
}
