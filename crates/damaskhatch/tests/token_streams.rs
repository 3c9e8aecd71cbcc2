//! Guards against a response that is no token stream but is joined to one, or ends it as complete.

use damaskhatch::upstream::engine::{self, Error};
use damaskhatch::upstream::message::{Decode, Event, Resume};
use damaskhatch_policy::prelude::{Request, Tag};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const REQUEST: Request = Request { host: Tag(1), incarnation: 2, serial: 3 };

/// Starts a server that responds to each request with `bytes` and closes the connection.
///
/// Returns its address.
async fn start_server(bytes: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _read = stream.read(&mut request).await;
            let _written = stream.write_all(bytes.as_bytes()).await;
        }
    });
    address
}

/// The events that a call gets from an engine which responds with `bytes`, and why they end.
async fn events(bytes: &str, is_resumed: bool) -> (Vec<Event>, Error) {
    let address = start_server(bytes.to_owned()).await;
    let request = REQUEST.to_string();
    let opened = if is_resumed {
        engine::resume(&address, &Resume { request, from: 2 }).await
    } else {
        let call = Decode {
            request,
            team: "release".to_owned(),
            prompt: "a".to_owned(),
            kv: "kv-1".to_owned(),
            kv_address: address.clone(),
            max_tokens: 8,
            from: 2,
            priority: 0,
        };
        engine::decode(&address, &call, |_head| {}).await
    };
    let mut events = Vec::new();
    let mut tokens = match opened {
        Ok(tokens) => tokens,
        Err(error) => return (events, error),
    };
    loop {
        match tokens.next().await {
            Ok(line) => events.push(line.event),
            Err(error) => return (events, error),
        }
    }
}

/// A response with this status and body; `framing` is 0 for a length, 1 for chunks, 2 for none.
fn response(status: u16, framing: usize, body: &str) -> String {
    let length = body.len();
    let chunk = if body.is_empty() { String::new() } else { format!("{length:x}\r\n{body}\r\n") };
    match framing {
        0 => format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}"),
        1 => format!("HTTP/1.1 {status} X\r\ntransfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n"),
        _ => format!("HTTP/1.1 {status} X\r\n\r\n{body}"),
    }
}

/// The last two lines of a token stream of `request`.
fn lines(request: &str) -> String {
    format!(
        "{{\"request\":\"{request}\",\"event\":{{\"token\":{{\"index\":2,\"text\":\"c\"}}}}}}\n\
         {{\"request\":\"{request}\",\"event\":{{\"done\":{{\"tokens\":3,\"finish\":\"stop\"}}}}}}\n"
    )
}

/// Guards against an answer to the call that goes on with a stream which has another status, the text of
/// an error, another request's tokens or no line at all, and passes for the rest of the stream.
#[actix_rt::test]
async fn a_response_that_is_no_token_stream_has_neither_tokens_nor_an_end() {
    let (own, other) = (lines(&REQUEST.to_string()), lines("other"));
    for is_resumed in [false, true] {
        for framing in 0..3 {
            for (status, body, error) in [
                (200, "", Error::Broken),
                (200, "overloaded", Error::Broken),
                (200, "overloaded\n", Error::Malformed),
                (200, "event: error\ndata: overloaded\n\n", Error::Malformed),
                (200, &*other, Error::Crossed),
                (201, &*own, Error::Malformed),
                (205, &*own, Error::Malformed),
                (206, &*own, Error::Malformed),
                (206, "", Error::Malformed),
                (301, &*own, Error::Malformed),
                (404, &*own, Error::Gone),
                (500, &*own, Error::Malformed),
                (503, &*own, Error::Declined),
            ] {
                let seen = events(&response(status, framing, body), is_resumed).await;
                assert_eq!(seen, (Vec::new(), error), "{status} {framing} {body:?}");
            }
            let (seen, error) = events(&response(200, framing, &own), is_resumed).await;
            assert!(matches!(seen[..], [Event::Token { .. }, Event::Done { .. }]), "{seen:?}");
            assert_eq!(error, Error::Broken, "the server closes after the last line");
        }
        let seen = events("HTTP/1.1 204 X\r\n\r\n", is_resumed).await;
        assert_eq!(seen, (Vec::new(), Error::Malformed));
    }
}
