//! Guards against accepting forged, damaged, replayed or outdated frames: `Codec::open` returns
//! only what a host with the shared secret has sealed, and each frame once.

use damaskhatch_policy::prelude::*;
use damaskhatch_wire::frame::MAX_DATAGRAM_BYTES;
use damaskhatch_wire::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECRET: &str = "a secret for tests only";

fn sender() -> Codec {
    Codec::new(SECRET, Tag(1), 7)
}

fn receiver() -> Codec {
    Codec::new(SECRET, Tag(2), 9)
}

fn body() -> Body {
    Body::Withdraw("0123456789abcdef".to_owned())
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(receiver().open(&bytes, MAX_DATAGRAM_BYTES).is_err());
    }

    #[test]
    fn a_truncated_frame_or_flipped_bit_is_rejected(
        position in any::<usize>(),
        bit in 0_u8..8,
        truncate in any::<bool>(),
    ) {
        let mut bytes = sender().seal(body(), MAX_DATAGRAM_BYTES).expect("the frame fits");
        let position = position % bytes.len();
        if truncate {
            bytes.truncate(position);
        } else {
            bytes[position] ^= 1_u8 << bit;
        }
        prop_assert!(receiver().open(&bytes, MAX_DATAGRAM_BYTES).is_err());
    }

    #[test]
    fn each_frame_is_accepted_once_in_any_order(
        order in prop::collection::vec(0_usize..300, 1..600),
    ) {
        let mut sender = sender();
        let frames: Vec<Vec<u8>> = (0..300)
            .map(|_| sender.seal(body(), MAX_DATAGRAM_BYTES).expect("the frame fits"))
            .collect();
        let mut receiver = receiver();
        let mut seen = std::collections::HashSet::new();
        for index in order {
            let opened = receiver.open(&frames[index], MAX_DATAGRAM_BYTES);
            prop_assert_eq!(opened.is_ok(), seen.insert(index));
        }
    }
}

#[test]
fn outdated_incarnations_wrong_secrets_and_oversized_frames_are_rejected() {
    let mut receiver = receiver();
    let mut outdated = Codec::new(SECRET, Tag(1), 6);
    let old = outdated.seal(body(), MAX_DATAGRAM_BYTES).expect("the frame fits");
    let fresh = sender().seal(body(), MAX_DATAGRAM_BYTES).expect("the frame fits");
    receiver.open(&fresh, MAX_DATAGRAM_BYTES).expect("the incarnation is the newest");
    assert_eq!(receiver.open(&old, MAX_DATAGRAM_BYTES), Err(Error::Repeated));
    let mut outsider = Codec::new("another secret entirely", Tag(3), 1);
    let forged = outsider.seal(body(), MAX_DATAGRAM_BYTES).expect("the frame fits");
    assert_eq!(receiver.open(&forged, MAX_DATAGRAM_BYTES), Err(Error::Forged));
    let oversized = Body::Withdraw("x".repeat(2_000));
    assert_eq!(sender().seal(oversized, MAX_DATAGRAM_BYTES), Err(Error::Long));
}
