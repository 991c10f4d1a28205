//! Handing over all tokens before a planned shutdown.

use crate::TokenGauges;
use crate::TokenHolder;
use crate::token_split::split_tokens;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;

impl TokenHolder {
    /// Hands all free tokens to `peers`, split evenly, and returns their number.
    ///
    /// A daemon that shuts down calls this until [`Self::is_empty`], since tokens
    /// become free as requests end, and keeps sending [`Self::message_to`] to its
    /// peers. Tokens that have not arrived by then are reclaimed from the final
    /// counters.
    pub fn hand_over_all(&mut self, peers: &[DaemonIdentity], gauges: &impl TokenGauges) -> u32 {
        let takers = peers
            .iter()
            .filter(|peer| self.exchanges_with(peer))
            .cloned();
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

    /// Whether no tokens are held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.values().all(|row| row.held() == 0)
    }
}
