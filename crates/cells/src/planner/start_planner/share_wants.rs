//! What waiting tasks want of their customers' quotas.

use crate::planner::RoomBook;
use crate::planner::StartPlanner;
use crate::planner::start_planner::customer_of;
use crate::shares::ShareWant;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;
use sapphirestile_placement::CustomerQuota;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementRefusal;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::choose_worker;

const UNLIMITED: ResourceSize = ResourceSize {
    cpu_milli: u64::MAX,
    memory_mb: u64::MAX,
    accelerators: u32::MAX,
};

impl StartPlanner {
    /// Takes the shares of quotas that are in force in this cell.
    pub fn set_shares(&mut self, shares: SortedTable<CustomerName, ResourceSize>) {
        self.shares = shares;
    }

    /// What the tasks want that the latest plan left waiting for a share.
    pub fn take_wants(&mut self) -> SortedTable<CustomerName, ShareWant> {
        std::mem::take(&mut self.wants)
    }

    /// Judges a refusal for want of quota by the whole quota, and notes what the
    /// job's `left` tasks want beyond the share of this cell.
    pub(super) fn judge_quota(
        &mut self,
        job: &WaitingJob,
        size: ResourceSize,
        left: usize,
        refusal: PlacementRefusal,
        book: &RoomBook,
    ) -> PlacementRefusal {
        let PlacementRefusal::QuotaReached {
            customer,
            remaining: share,
            short_of,
            ..
        } = refusal
        else {
            return refusal;
        };
        let entry = self.customers.get(&customer);
        let fits = entry.is_some_and(|entry| size.fits_in(&entry.quota));
        if fits && self.has_room(job, size, book) {
            self.note_want(job, size, left, book);
        }
        PlacementRefusal::QuotaReached {
            customer,
            remaining: share,
            short_of,
            larger_than_quota: !fits,
        }
    }

    /// Whether a worker would take the task if its customer's quota did.
    fn has_room(&self, job: &WaitingJob, size: ResourceSize, book: &RoomBook) -> bool {
        let customer = CustomerQuota {
            quota: UNLIMITED,
            ..customer_of(job, &book.customers).clone()
        };
        let nothing = PlacedTasks::default();
        let mut request = PlacementRequest::new(size, &customer, &nothing);
        request.job = Some(&job.name);
        request.urgent = job.urgent;
        request.zones = &job.zones;
        choose_worker(&book.rooms, &request, &self.policy).is_ok()
    }

    fn note_want(&mut self, job: &WaitingJob, size: ResourceSize, left: usize, book: &RoomBook) {
        let rooms = book.rooms.iter().filter(|room| room.takes_work());
        let room = rooms.fold(ResourceSize::default(), |sum, room| {
            sum.plus(&room.free(&self.policy))
        });
        let count = u32::try_from(left).unwrap_or(u32::MAX);
        let left = customer_of(job, &book.customers).remaining();
        let wanted = size.times(count).at_most(&room).at_least(&size);
        let first = ShareWant {
            wanted: ResourceSize::default(),
            unit: size.minus(&left),
            size,
        };
        let customer = job.customer.clone();
        let want = self.wants.get_or_insert_with(customer, || first);
        want.wanted = want.wanted.plus(&wanted.minus(&left)).at_most(&room);
        want.wanted = want.wanted.at_least(&want.unit);
    }
}
