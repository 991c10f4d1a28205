//! Events that the token actor handles.

use crossbeam::channel::Sender;

use sapphirestile_core::DaemonIdentity;
use sapphirestile_slots::ClosedReport;
use sapphirestile_slots::HandoverMessage;
use sapphirestile_wire::peer::TokenReport;

/// An event for the [`crate::tokens::TokenActor`].
#[derive(Debug)]
pub enum TokenEvent {
    /// A peer sent the counters of the tokens that it has handed over to this daemon.
    Handover(HandoverMessage),
    /// A peer reported its tokens and its demand.
    Reported(DaemonIdentity, TokenReport),
    /// Request to hand over all tokens to peers; answered once none are held.
    Drain(Sender<()>),
    /// Request to close the counters with a member that is proven gone; answered with
    /// their final totals.
    CloseMember(DaemonIdentity, Sender<ClosedReport>),
}
