//! Handing over all tokens at a planned stop.

use std::sync::Arc;

use crossbeam::channel::Sender;

use crate::tokens::TokenActor;
use sapphirestile_core::DaemonIdentity;

/// The minimum number of rounds in which all counters are sent; a single datagram may be
/// lost.
const ROUNDS_MIN: u32 = 4;

impl TokenActor {
    pub(super) fn begin_drain(&mut self, reply: Sender<()>) {
        self.draining = Some((reply, 0));
    }

    /// Hands over tokens that are free by now and sends all counters to the serving peers.
    /// Answers once no tokens are held and [`ROUNDS_MIN`] rounds were sent.
    ///
    /// Tokens whose counters have not arrived by then are reclaimed when this incarnation
    /// is proven gone.
    pub(super) fn drain(&mut self) {
        let context = Arc::clone(&self.context);
        let peers = self.serving_peers();
        let Some(holder) = &mut self.holder else {
            self.answer_drain();
            return;
        };
        holder.hand_over_all(&peers, &context.gauges);
        let is_empty = holder.is_empty();
        for peer in &peers {
            self.send_all_counters(peer);
        }
        let Some((_, rounds)) = &mut self.draining else {
            return;
        };
        *rounds += 1;
        if is_empty && *rounds >= ROUNDS_MIN {
            self.answer_drain();
        }
    }

    fn answer_drain(&mut self) {
        if let Some((reply, _)) = &self.draining {
            // The caller may have stopped waiting.
            let _sent = reply.try_send(());
        }
    }

    fn serving_peers(&self) -> Vec<DaemonIdentity> {
        let now = self.context.clock.now();
        let suspect_ms = self.context.settings.limits.suspect_ms;
        let members = self.context.members.load();
        let serving = members
            .rows()
            .filter(|(_, row)| row.is_serving(now, suspect_ms));
        let identities = serving.map(|(daemon, row)| DaemonIdentity {
            daemon: daemon.clone(),
            incarnation: row.incarnation,
        });
        identities.collect()
    }
}
