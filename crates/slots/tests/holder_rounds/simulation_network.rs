//! Simulated network between holders.

use rand::Rng;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_slots::HandoverMessage;

use crate::token_simulation::TokenSimulation;

impl TokenSimulation {
    pub fn send(&mut self, index: usize) {
        let peers = (0..self.processes.len()).filter_map(|peer| self.identity(peer));
        let peers = peers.collect::<Vec<_>>();
        if let Some(process) = self.awake(index) {
            let messages = peers
                .iter()
                .map(|to| process.holder.message_to(to, None, 9));
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
            0..2 => self.counts.record("lost", 1),
            2..4 => {
                self.counts.record("repeated", 1);
                self.network.push(message.clone());
                self.receive(&message);
            }
            _ => self.receive(&message),
        }
    }

    pub fn receive(&mut self, message: &HandoverMessage) {
        let index = self.index_of(&message.to);
        if !self.reaches(index, self.index_of(&message.from)) {
            return;
        }
        let Some(process) = self.awake(index) else {
            return;
        };
        let received = process.holder.receive(message, &process.gauges);
        self.counts.record("tokens moved", received);
    }

    fn index_of(&self, identity: &DaemonIdentity) -> usize {
        let named = |index: &usize| format!("vm-{index}") == identity.daemon.as_str();
        (0..self.processes.len()).find(named).unwrap()
    }
}
