//! Polls the platform's list of VMs.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use tracing::warn;

use crate::context::DaemonContext;
use crate::context::LogLimiter;
use crate::routes::RoutePublisher;
use crate::vms::VmTable;
use sapphirestile_clients::vms::ListTag;
use sapphirestile_clients::vms::ListUpdate;
use sapphirestile_clients::vms::VmClient;

const STEP: &str = "read VM list";
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the list of VMs and publishes what follows from it.
pub struct VmPoller {
    context: Arc<DaemonContext>,
    client: VmClient,
    log_limiter: LogLimiter,
    /// Calls the list that is in the table.
    tag: Option<ListTag>,
}

impl VmPoller {
    /// A poller for one daemon.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>, client: VmClient) -> Self {
        let log_limiter = LogLimiter::default();
        Self {
            context,
            client,
            log_limiter,
            tag: None,
        }
    }

    /// Polls until `stop` is closed.
    pub fn run(&mut self, publisher: &mut RoutePublisher, stop: &Receiver<()>) {
        loop {
            self.poll();
            publisher.publish();
            if stop.recv_timeout(POLL_INTERVAL) != Err(RecvTimeoutError::Timeout) {
                return;
            }
        }
    }

    /// Reads the list once; when it cannot be read, the one before stays.
    pub fn poll(&mut self) {
        let asked = self.context.clock.now();
        let peer = self.context.settings.platform.vms;
        match self.client.read(self.tag.as_ref()) {
            // As good a sighting of every VM as the same list sent again.
            Ok(ListUpdate::Unchanged) => self.context.vms.update(|table| table.sighted(asked)),
            Ok(ListUpdate::Full { records, .. }) if records.is_empty() => {
                // A platform without any VM is not believed.
                if let Some(repeats) = self.log_limiter.try_acquire(asked) {
                    warn!(
                        step = STEP,
                        %peer,
                        repeats,
                        "the list is empty; the one before stays"
                    );
                }
            }
            Ok(ListUpdate::Full { records, tag }) => {
                self.context.vms.update(|_| VmTable::new(records, asked));
                self.tag = tag;
            }
            Err(error) => {
                if let Some(repeats) = self.log_limiter.try_acquire(asked) {
                    warn!(
                        step = STEP,
                        %peer,
                        repeats,
                        ?error,
                        "the list before stays"
                    );
                }
            }
        }
    }
}
