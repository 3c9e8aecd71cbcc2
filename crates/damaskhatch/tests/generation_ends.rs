//! Guards against a generated stream that stops early and reaches its caller framed as complete.

use damaskhatch::entry::idempotency::Record;
use damaskhatch::entry::stream::{Piece, events};
use damaskhatch_policy::prelude::{Request, Tag};
use futures_util::StreamExt;
use tokio::sync::mpsc::unbounded_channel;

const REQUEST: Request = Request { host: Tag(1), incarnation: 2, serial: 3 };

/// Guards against the end of the generating task, such as by a panic, that passes for the last event.
#[actix_rt::test]
async fn a_stream_whose_generation_ends_without_its_last_events_fails() {
    for is_complete in [true, false] {
        let (sender, receiver) = unbounded_channel();
        sender.send(Piece::Text("b".to_owned())).expect("the receiver exists");
        if is_complete {
            sender.send(Piece::End(Ok("c".to_owned()))).expect("the receiver exists");
        }
        drop(sender);
        let items = events("a".to_owned(), receiver, REQUEST, Record::UNKEYED).collect::<Vec<_>>();
        let texts = items.await.into_iter().map(|item| item.map_err(|error| error.to_string()));
        let texts: Result<Vec<_>, _> = texts.collect();
        assert_eq!(texts.is_ok(), is_complete, "{texts:?}");
        if let Ok(texts) = texts {
            assert_eq!(texts.concat(), b"abc");
        }
    }
}
