//! What a token keeper takes in.

use crossbeam::channel::Sender;

use sapphirestile_core::DaemonIdentity;
use sapphirestile_slots::ClosedReport;
use sapphirestile_slots::HandoverMessage;
use sapphirestile_wire::peer::TokenReport;

/// Something that a token keeper takes in.
#[derive(Debug)]
pub enum TokenEvent {
    /// A peer handed tokens over.
    Handover(HandoverMessage),
    /// A peer said what it holds and wants.
    Reported(DaemonIdentity, TokenReport),
    /// Hand everything over, and answer once nothing is held.
    Leave(Sender<()>),
    /// Close the counters with a member that is proven gone, and answer.
    Close(DaemonIdentity, Sender<ClosedReport>),
}
