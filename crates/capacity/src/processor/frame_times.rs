//! Frames between daemons.

use sapphirestile_wire::peer::FrameKey;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;

use crate::ResultTable;
use crate::report::TimeSample;
use crate::report::nanos_of;
use crate::scenes::TokenScene;
use crate::scenes::identity;

const REPETITIONS: usize = 1_000;

pub fn frame_times(rounds: usize) -> ResultTable {
    let mut table = ResultTable::new(
        "Seal and open a frame, us: median (least to most)",
        &["bytes", "seal", "open"],
    );
    let key = FrameKey::new(b"a secret of sixteen bytes");
    for runners in [48, 500, 2_000, 37_000] {
        let sender = identity(0);
        let frame = PeerFrame {
            sender: sender.daemon,
            incarnation: sender.incarnation,
            call: 1,
            body: PeerDatagram::Tokens(TokenScene::build(runners).report()),
        };
        let sealed = key.seal(&frame).expect("the frame is short enough");
        let seal = TimeSample::gather(rounds, || repeat(|| key.seal(&frame).is_ok()));
        let open = TimeSample::gather(rounds, || {
            repeat(|| key.open::<PeerDatagram>(&sealed).is_ok())
        });
        table.add(&[&sealed.len(), &seal, &open]);
    }
    table
}

fn repeat(mut step: impl FnMut() -> bool) -> u128 {
    nanos_of(REPETITIONS, || {
        let done = (0..REPETITIONS).filter(|_| std::hint::black_box(step()));
        assert_eq!(done.count(), REPETITIONS, "a frame was refused");
    })
}
