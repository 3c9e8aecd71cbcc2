//! One HTTP/1.1 request over a connection of its own, and its answer.
//!
//! Connections are never reused: bytes left over from an earlier answer, or a
//! connection that has gone silent, can then never reach another request. A body
//! that ends early is reported as [`Error::Broken`], however it was framed; see
//! [docs/DESIGN.md](../../../docs/DESIGN.md#calls).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

pub use http::response::Parts as Head;
pub use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};

/// How long sent bytes may stay unacknowledged before the connection counts as dead.
///
/// A peer behind a cut never answers; without this bound a write waits for minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Why an exchange failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the address refuses connections, nothing was sent
    Refused,
    /// no connection was made, nothing was sent: {0}
    Unsent(String),
    /// the connection failed after the request may have been sent: {0}
    Broken(String),
    /// the answer is longer than {0} bytes
    TooLong(usize),
}

impl std::error::Error for Error {}

/// The result of this layer.
pub type Result<T> = std::result::Result<T, Error>;

/// Drives a connection until the exchange is dropped.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The head of an answer, with its body still to come.
#[derive(Debug)]
pub struct Response {
    /// Status and headers.
    pub head: Head,
    body: Incoming,
    _driver: Driver,
}

impl Response {
    /// The next bytes of the body; `None` once it is complete.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes>> {
        loop {
            return match self.body.frame().await? {
                Ok(frame) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => Some(Ok(data)),
                    // Trailers and empty frames carry nothing for the reader.
                    _ => continue,
                },
                Err(error) => Some(Err(Error::Broken(error.to_string()))),
            };
        }
    }

    /// Reads the rest of the body, up to `limit` bytes.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes> {
        let Some(first) = self.next_chunk().await.transpose()? else {
            return Ok(Bytes::new());
        };
        let mut all = BytesMut::from(first);
        while let Some(part) = self.next_chunk().await {
            all.extend_from_slice(&part?);
            if all.len() > limit {
                return Err(Error::TooLong(limit));
            }
        }
        Ok(all.freeze())
    }
}

/// Sends a request to `address` and waits for the head of its answer.
///
/// Only the connection is bounded here, by `connect`; the caller bounds the rest
/// by dropping the future, which closes the connection.
pub async fn send(
    address: SocketAddr,
    connect: Duration,
    request: Request<Bytes>,
) -> Result<Response> {
    let unsent = |error: std::io::Error| Error::Unsent(error.to_string());
    let stream = timeout(connect, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| Error::Unsent(format!("no connection within {connect:?}")))?
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => Error::Refused,
            _ => unsent(error),
        })?;
    stream.set_nodelay(true).map_err(unsent)?;
    socket2::SockRef::from(&stream)
        .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
        .map_err(unsent)?;
    let (mut sender, connection) = hyper::client::conn::http1::Builder::new()
        .title_case_headers(true)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::Unsent(error.to_string()))?;
    let driver = Driver(tokio::spawn(async move {
        // The same failure reaches the reader of the answer, who reports it.
        let _reported = connection.await;
    }));
    let request = request.map(Full::new);
    let answer = sender.send_request(request).await;
    let answer = answer.map_err(|error| Error::Broken(error.to_string()))?;
    let (head, body) = answer.into_parts();
    Ok(Response { head, body, _driver: driver })
}
