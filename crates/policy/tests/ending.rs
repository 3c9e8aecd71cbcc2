//! Guards against a body that was cut off and counts as complete, or the reverse.

use damaskhatch_policy::ending::{Content, Upstream, Verdict};

const CONTENTS: [Content; 4] =
    [Content::Opaque, Content::AfterEvent, Content::InsideEvent, Content::BeforeEvents];
const UPSTREAMS: [Upstream; 3] = [Upstream::Listening, Upstream::Gone, Upstream::Unknown];

/// Guards against an end that is taken for complete although the content, or the upstream's crash
/// at an end that nothing else marks, shows that it is not.
#[test]
fn only_a_frame_or_a_listening_upstream_makes_an_end_complete() {
    for content in CONTENTS {
        for upstream in UPSTREAMS {
            for is_framed in [true, false] {
                let verdict = Verdict::of_body(is_framed, content).with_upstream(upstream);
                let expected = match (is_framed, content, upstream) {
                    (_, Content::InsideEvent, _) | (false, Content::BeforeEvents, _) => {
                        Verdict::Truncated
                    }
                    (true, ..) | (false, _, Upstream::Listening) => Verdict::Complete,
                    (false, _, Upstream::Gone) => Verdict::Truncated,
                    (false, _, Upstream::Unknown) => Verdict::Unverified,
                };
                assert_eq!(verdict, expected, "{is_framed} {content:?} {upstream:?}");
            }
        }
    }
}
