//! Polls the platform's list of VMs.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use tracing::warn;

use crate::context::DaemonContext;
use crate::context::RepeatLimiter;
use crate::routes::RoutePublisher;
use crate::vms::VmTable;
use sapphirestile_clients::vms::ListTag;
use sapphirestile_clients::vms::ListUpdate;
use sapphirestile_clients::vms::VmClient;

const STEP: &str = "read VM list";
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the list of VMs into the daemon's [`VmTable`] and has the routing table updated
/// after each read.
pub struct VmPoller {
    context: Arc<DaemonContext>,
    client: VmClient,
    log_limiter: RepeatLimiter,
    /// The platform's tag of the list that is in the table; a read with it returns only a
    /// changed list. `None` before the first read.
    tag: Option<ListTag>,
}

impl VmPoller {
    /// Creates a poller that reads with `client` into the table of `context`.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>, client: VmClient) -> Self {
        let log_limiter = RepeatLimiter::default();
        Self {
            context,
            client,
            log_limiter,
            tag: None,
        }
    }

    /// Reads the list and publishes the routing table every second until `stop` is closed.
    /// Blocks the calling thread.
    pub fn run(&mut self, publisher: &mut RoutePublisher, stop: &Receiver<()>) {
        loop {
            self.poll();
            publisher.publish();
            if stop.recv_timeout(POLL_INTERVAL) != Err(RecvTimeoutError::Timeout) {
                return;
            }
        }
    }

    /// Reads the list once. When the read fails or the list is empty, the table keeps the
    /// previous list.
    pub fn poll(&mut self) {
        let started_at = self.context.clock.now();
        let peer = self.context.settings.platform.vms;
        match self.client.read(self.tag.as_ref()) {
            // Shows that every VM is still listed, like the same list sent again.
            Ok(ListUpdate::Unchanged) => self
                .context
                .vms
                .update(|table| table.with_read_time(started_at)),
            Ok(ListUpdate::Full { records, .. }) if records.is_empty() => {
                // A platform without any VM is implausible, so the list is not used.
                if let Some(repeats) = self.log_limiter.try_acquire(started_at) {
                    warn!(
                        step = STEP,
                        %peer,
                        repeats,
                        "the list is empty; keeping the previous one"
                    );
                }
            }
            Ok(ListUpdate::Full { records, tag }) => {
                self.context
                    .vms
                    .update(|_| VmTable::new(records, started_at));
                self.tag = tag;
            }
            Err(error) => {
                if let Some(repeats) = self.log_limiter.try_acquire(started_at) {
                    warn!(
                        step = STEP,
                        %peer,
                        repeats,
                        ?error,
                        "cannot read the list; keeping the previous one"
                    );
                }
            }
        }
    }
}
