//! Tokens given up by a planned stop.

use std::sync::Arc;

use crossbeam::channel::Sender;

use crate::tokens::TokenKeeper;
use sapphirestile_core::DaemonIdentity;

/// Each message may be lost, so all are sent in several rounds.
const ROUNDS_MIN: u32 = 4;

impl TokenKeeper {
    pub(super) fn begin_leaving(&mut self, reply: Sender<()>) {
        self.leaving = Some((reply, 0));
    }

    /// Hands over what has come free, tells the peers, and answers once nothing is
    /// held and the peers were told often enough. What still has not arrived then
    /// is reclaimed when this incarnation is proven gone.
    pub(super) fn leave(&mut self) {
        let context = Arc::clone(&self.context);
        let peers = self.serving_peers();
        let Some(holder) = &mut self.holder else {
            self.answer_leaving();
            return;
        };
        holder.hand_over_all(&peers, &context.gauges);
        let empty = holder.is_empty();
        for peer in &peers {
            self.tell_everything(peer);
        }
        let Some((_, rounds)) = &mut self.leaving else {
            return;
        };
        *rounds += 1;
        if empty && *rounds >= ROUNDS_MIN {
            self.answer_leaving();
        }
    }

    fn answer_leaving(&mut self) {
        if let Some((reply, _)) = &self.leaving {
            // Whoever asked may have stopped waiting.
            let _given = reply.try_send(());
        }
    }

    fn serving_peers(&self) -> Vec<DaemonIdentity> {
        let now = self.context.clock.now();
        let suspect_ms = self.context.settings.limits.suspect_ms;
        let members = self.context.members.load();
        let serving = members
            .rows()
            .filter(|(_, row)| row.serves(now, suspect_ms));
        let identities = serving.map(|(daemon, row)| DaemonIdentity {
            daemon: daemon.clone(),
            incarnation: row.incarnation,
        });
        identities.collect()
    }
}
