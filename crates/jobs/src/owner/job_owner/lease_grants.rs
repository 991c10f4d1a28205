//! Which workers get leases, as far as the stored bounds allow.

use crate::owner::JobOwner;
use crate::owner::LeaseBounds;
use crate::worker::LeaseGrant;
use sapphirestile_core::MonoTime;

impl JobOwner {
    /// Bounds on the leases of all workers for the batch that is taken now. A worker with
    /// runs that does not respond is listed with its own bound, and gets no lease from now
    /// on until a batch that does not list it is stored. One that responds is listed only if
    /// it may hold a lease that ends later than those of this owner. Any worker may have runs of
    /// a job that was left out.
    pub(super) fn take_lease_bounds(&mut self, now: MonoTime) -> LeaseBounds {
        self.has_grant_change = false;
        let mut bounds = LeaseBounds::of_all(self.limits.authority_bound_ms());
        let (inherited, claimed) = (&self.inherited, self.claimed);
        let may_have_unknown_runs = !self.left_out.is_empty();
        for (name, tracked) in self.workers.iter_mut() {
            let has_runs = may_have_unknown_runs || !tracked.runs.is_empty();
            let is_withheld = has_runs && !tracked.responds();
            tracked.lease_grant = tracked.lease_grant.in_next_batch(is_withheld);
            let inherited_end = claimed.plus_millis(inherited.left_ms(name));
            let left_ms = tracked.lease_left_ms(inherited_end, now);
            if is_withheld || (has_runs && left_ms > bounds.others_ms) {
                bounds.workers.insert(name.clone(), left_ms);
            }
        }
        bounds
    }

    /// Lets the workers get leases again that the batch which is stored now does not list.
    pub(super) fn resume_leases(&mut self, now: MonoTime) {
        for tracked in self.workers.iter_mut().map(|(_, tracked)| tracked) {
            if tracked.lease_grant == LeaseGrant::Resuming {
                tracked.next_poll = tracked.next_poll.min(now);
            }
            tracked.lease_grant = tracked.lease_grant.when_stored();
        }
    }
}
