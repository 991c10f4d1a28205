//! How a worker's guard shares processor time out.

/// Processor time wanted and given, in thousandths of a core.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CpuShare {
    pub(crate) wanted: f64,
    pub(crate) given: f64,
}

impl CpuShare {
    /// Shares `room` out: first up to what was given, then what is left by need.
    pub(crate) fn share_out(shares: &[Self], room: f64) -> Vec<f64> {
        let wanted = shares.iter().map(|share| share.wanted).sum::<f64>();
        if wanted <= room {
            return shares.iter().map(|share| share.wanted).collect();
        }
        let floor = |share: &Self| share.wanted.min(share.given);
        let floors = shares.iter().map(floor).sum::<f64>();
        if floors >= room {
            let part = room / floors;
            return shares.iter().map(|share| floor(share) * part).collect();
        }
        let part = (room - floors) / (wanted - floors);
        let fill = |share: &Self| floor(share) + (share.wanted - floor(share)) * part;
        shares.iter().map(fill).collect()
    }
}
