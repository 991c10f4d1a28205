//! Processor time of sealing and opening frames between daemons.

use sapphirestile_wire::peer::FrameKey;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;

use crate::ResultTable;
use crate::fixtures::TokenFixture;
use crate::fixtures::daemon_identity;
use crate::report::TimingSummary;
use crate::report::nanos_per_unit;

/// Repetitions within one measurement.
const REPETITIONS: usize = 1_000;

/// Measures frames that carry a token report, by the number of runners.
pub fn frame_times(rounds: usize) -> ResultTable {
    let mut table = ResultTable::new(
        "Seal and open a frame, us: median (least to most)",
        &["bytes", "seal", "open"],
    );
    let key = FrameKey::new(b"a secret of sixteen bytes");
    for runners in [48, 500, 2_000, 37_000] {
        let sender = daemon_identity(0);
        let frame = PeerFrame {
            sender: sender.daemon,
            incarnation: sender.incarnation,
            call: 1,
            body: PeerDatagram::Tokens(TokenFixture::build(runners).report()),
        };
        let sealed = key
            .seal(&frame)
            .expect("the frame is within the size limit");
        let seal = TimingSummary::measure(rounds, || time_repeated(|| key.seal(&frame).is_ok()));
        let open = TimingSummary::measure(rounds, || {
            time_repeated(|| key.open::<PeerDatagram>(&sealed).is_ok())
        });
        table.add(&[&sealed.len(), &seal, &open]);
    }
    table
}

/// Returns the mean nanoseconds of `step`, which returns `false` on failure.
///
/// # Panics
///
/// When a step fails.
fn time_repeated(mut step: impl FnMut() -> bool) -> u128 {
    nanos_per_unit(REPETITIONS, || {
        let succeeded = (0..REPETITIONS).filter(|_| std::hint::black_box(step()));
        assert_eq!(
            succeeded.count(),
            REPETITIONS,
            "every frame must be sealed or opened without an error"
        );
    })
}
