//! Messages between holders.

use rand::Rng;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_slots::HandoverMessage;

use crate::round_world::RoundWorld;

impl RoundWorld {
    pub fn send(&mut self, place: usize) {
        let peers = (0..self.lives.len()).filter_map(|peer| self.identity(peer));
        let peers = peers.collect::<Vec<_>>();
        if let Some(life) = self.awake(place) {
            let messages = peers.iter().map(|to| life.holder.message_to(to, None, 9));
            let messages = messages.collect::<Vec<_>>();
            self.network.extend(messages);
        }
    }

    pub fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let chosen = self.random.random_range(0..self.network.len());
        let message = self.network.swap_remove(chosen);
        match self.random.random_range(0..10) {
            0..2 => self.counts.note("lost", 1),
            2..4 => {
                self.counts.note("repeated", 1);
                self.network.push(message.clone());
                self.hand_in(&message);
            }
            _ => self.hand_in(&message),
        }
    }

    pub fn hand_in(&mut self, message: &HandoverMessage) {
        let place = self.place_of(&message.to);
        if !self.reaches(place, self.place_of(&message.from)) {
            return;
        }
        let Some(life) = self.awake(place) else {
            return;
        };
        let received = life.holder.receive(message, &life.gauges);
        self.counts.note("tokens moved", received);
    }

    fn place_of(&self, identity: &DaemonIdentity) -> usize {
        let named = |place: &usize| format!("vm-{place}") == identity.daemon.as_str();
        (0..self.lives.len()).find(named).unwrap()
    }
}
