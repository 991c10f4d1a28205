//! How a holder gives everything up before a planned stop.

use crate::TokenGauges;
use crate::TokenHolder;
use crate::token_split::split_tokens;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;

impl TokenHolder {
    /// Hands all free tokens to `peers`, split evenly, and returns how many.
    ///
    /// A stopping daemon calls it until [`Self::holds_nothing`], since tokens come
    /// free as requests end, and goes on sending [`Self::message_to`] its peers.
    /// What has not arrived when it stops is reclaimed with its last counters.
    pub fn hand_over_all(&mut self, peers: &[DaemonIdentity], gauges: &impl TokenGauges) -> u32 {
        let takers = peers.iter().filter(|peer| self.trades_with(peer)).cloned();
        let takers = takers.collect::<Vec<_>>();
        if takers.is_empty() {
            return 0;
        }
        let published = self.rows.iter().filter(|(_, row)| row.published > 0);
        let runners = published.map(|(runner, row)| (runner.clone(), row.published));
        let runners = runners.collect::<Vec<(RunnerName, u32)>>();
        let mut handed = 0;
        for (runner, published) in runners {
            let parts = split_tokens(published, takers.len(), runner.as_str());
            for (taker, part) in takers.iter().zip(parts) {
                handed += self.hand_over(taker, &runner, part, gauges);
            }
        }
        handed
    }

    /// Whether no token is held.
    #[must_use]
    pub fn holds_nothing(&self) -> bool {
        self.rows.values().all(|row| row.holding() == 0)
    }
}
