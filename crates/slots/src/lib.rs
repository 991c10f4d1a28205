//! Slots of runners split among daemons and handed from peer to peer.
