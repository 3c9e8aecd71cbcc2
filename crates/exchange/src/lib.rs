//! An HTTP/1.1 client that opens a new connection for each request, or keeps connections where that
//! is safe.
//!
//! On a connection of its own, neither unread bytes of an earlier response nor a
//! stalled connection can affect a request; [`pool`] has the rules for kept ones. A truncated
//! body is reported as [`Error::Broken`]; where only the end of the connection
//! delimits the body ([`Framing::Close`]), truncation can be detected here only by a
//! reset, and the reader must judge by the content. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#ends-of-responses).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

mod guarded;
pub mod memory;
pub mod pool;

pub use guarded::MAX_BYTES_WITHOUT_PROGRESS;

use guarded::Guard;
use memory::{Budget, Buffer};

pub use http::response::Parts as Head;
pub use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header};

/// How long sent bytes may stay unacknowledged before the kernel closes the connection.
///
/// A peer behind a network partition never acknowledges; without this bound, a write to it
/// blocks for minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest response head, and the most bytes read ahead on a connection.
const MAX_READ_BYTES: usize = 64 << 10;

/// The largest code of a status; the HTTP library accepts any of three digits from 100 on.
const MAX_STATUS: u16 = 599;

/// Why an exchange failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// connection refused; nothing was sent
    Refused,
    /// connection failed before the request was sent: {0}
    Unsent(String),
    /// connection failed after the request may have been sent: {0}
    Broken(String),
    /// kept connection ended before a response, the request may have been sent: {0}
    Stale(String),
    /// response body exceeds {0} bytes
    TooLong(usize),
    /// no memory for {bytes} bytes of a body beside {used} bytes of all bodies
    Exhausted {
        /// The length that the body would have had.
        bytes: usize,
        /// The bytes in use.
        used: usize,
    },
}

impl std::error::Error for Error {}

/// A result whose error is an exchange [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The task that drives a connection; dropping it closes the connection.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// How a response marks the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Framing {
    /// By a length, which is 0 for a response without a body.
    #[displaydoc("length")]
    Length,
    /// By a last chunk.
    #[displaydoc("chunked")]
    Chunked,
    /// By nothing but the end of the connection.
    #[displaydoc("close")]
    Close,
}

impl Framing {
    /// The framing of a response, from its head and from the length that its body was found to have.
    fn new(head: &Head, length: Option<u64>) -> Self {
        let codings = head.headers.get(header::TRANSFER_ENCODING);
        let codings = codings.and_then(|codings| codings.to_str().ok()).unwrap_or("");
        let last = codings.rsplit(',').next().unwrap_or("").trim();
        if length.is_some() {
            Self::Length
        } else if last.eq_ignore_ascii_case("chunked") {
            Self::Chunked
        } else {
            Self::Close
        }
    }
}

/// The connection that a request was sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Connection {
    /// One of its own.
    #[displaydoc("new")]
    New,
    /// One that earlier requests were sent on.
    #[displaydoc("kept")]
    Kept,
}

/// A response whose head has been received, and whose body is read on demand.
///
/// Dropping it closes the connection, unless the body has been read to its end and the connection
/// belongs to a [`pool`].
#[derive(Debug)]
pub struct Response {
    /// The status and headers.
    pub head: Head,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// The connection that it came on.
    pub connection: Connection,
    body: Incoming,
    guard: Guard,
    /// `None` once the connection is kept for another request.
    driver: Option<Driver>,
    /// Set if the connection is kept after this response.
    return_to: Option<pool::Return>,
}

impl Response {
    /// Splits a response whose connection `driver` drives.
    ///
    /// Fails for a switch of protocols, which ends HTTP on the connection: no request asks for one, and
    /// it is not the final response. Fails too for a status of no class, of which nothing can be believed.
    fn new(response: http::Response<Incoming>, driver: Driver, guard: Guard) -> Result<Self> {
        guard.record_progress();
        let (head, body) = response.into_parts();
        if head.status.is_informational() {
            return Err(Error::Broken(format!("no final response after status {}", head.status)));
        }
        if head.status.as_u16() > MAX_STATUS {
            return Err(Error::Broken(format!("no status has the code {}", head.status.as_u16())));
        }
        let framing = Framing::new(&head, body.size_hint().exact());
        let connection = Connection::New;
        let driver = Some(driver);
        Ok(Self { head, framing, connection, body, guard, driver, return_to: None })
    }

    /// Keeps the connection of a complete response, if it may be kept.
    fn end(&mut self) {
        if let (Some(return_to), Some(driver)) = (self.return_to.take(), self.driver.take()) {
            return_to.keep(driver);
        }
    }

    /// Whether the connection ended while the other end had not read the request, with a body whose end
    /// nothing else marks.
    ///
    /// A failure need not read the request. Anything else cannot be known to be complete.
    fn is_cut_short(&self) -> bool {
        self.framing == Framing::Close && self.head.status.is_success() && self.guard.is_blocked()
    }

    /// Closes the connection, on which the rest of the body may still be arriving.
    pub fn close(&mut self) {
        self.driver = None;
        self.return_to = None;
    }

    /// Reads the next bytes of the body; returns `None` once it is complete.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes>> {
        loop {
            let Some(frame) = self.body.frame().await else {
                if self.is_cut_short() {
                    let reason = "the response ended before its request was read";
                    return Some(Err(Error::Broken(reason.to_owned())));
                }
                self.end();
                return None;
            };
            return match frame {
                Ok(frame) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => {
                        self.guard.record_progress();
                        Some(Ok(data))
                    }
                    // Trailers and empty frames carry no body bytes.
                    _ => continue,
                },
                Err(error) => Some(Err(Error::Broken(describe(&error)))),
            };
        }
    }

    /// Reads the rest of the body, whose bytes are taken from `budget`.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::TooLong`] if the stated length exceeds `limit`, as [`Buffer::push`] does, and
    /// if the body breaks off.
    pub async fn read_body(&mut self, limit: usize, budget: &Budget) -> Result<Bytes> {
        let mut body = self.begin_body(limit, budget)?;
        while let Some(chunk) = self.next_chunk().await {
            body.push(&chunk?)?;
        }
        Ok(body.freeze())
    }

    /// Reads the rest of the body while bytes keep arriving, however long it takes in all.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Broken`] if the first byte has not arrived at `deadline`, or a later one
    /// not within `idle_timeout` of the one before it, and otherwise as [`Self::read_body`] does.
    pub async fn read_body_in_progress(
        &mut self,
        limit: usize,
        budget: &Budget,
        mut deadline: Instant,
        idle_timeout: Duration,
    ) -> Result<Bytes> {
        let mut body = self.begin_body(limit, budget)?;
        loop {
            let stalled = |_elapsed| {
                let length = body.len();
                Error::Broken(format!("no further byte of the body in time, after {length}"))
            };
            let Some(chunk) = timeout_at(deadline, self.next_chunk()).await.map_err(stalled)?
            else {
                return Ok(body.freeze());
            };
            body.push(&chunk?)?;
            deadline = deadline.max(Instant::now() + idle_timeout);
        }
    }

    /// An empty buffer for the body, unless its stated length already exceeds `limit`.
    fn begin_body(&self, limit: usize, budget: &Budget) -> Result<Buffer> {
        match self.body.size_hint().exact() {
            Some(length) if length > limit as u64 => Err(Error::TooLong(limit)),
            _ => Ok(Buffer::new(budget, limit)),
        }
    }
}

/// Sends a request to `address` and waits for the head of the response.
///
/// Only connecting is limited in time, by `connect_timeout`. The caller limits the rest
/// by dropping the future, which closes the connection.
pub async fn send(
    address: SocketAddr,
    connect_timeout: Duration,
    request: Request<Bytes>,
) -> Result<Response> {
    let Connected { mut sender, driver, guard } = connect(address, connect_timeout).await?;
    let response = sender.send_request(request.map(Full::new)).await;
    let response = response.map_err(|error| Error::Broken(describe(&error)))?;
    Response::new(response, driver, guard)
}

/// The text of an error of the HTTP library, with that of its cause.
fn describe(error: &hyper::Error) -> String {
    use std::error::Error as _;
    error.source().map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
}

/// An open connection.
#[derive(Debug)]
struct Connected {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    guard: Guard,
}

/// Opens a connection; drives it until the driver is dropped.
async fn connect(address: SocketAddr, connect_timeout: Duration) -> Result<Connected> {
    let unsent = |error: std::io::Error| Error::Unsent(error.to_string());
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| Error::Unsent(format!("no connection within {connect_timeout:?}")))?
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => Error::Refused,
            _ => unsent(error),
        })?;
    stream.set_nodelay(true).map_err(unsent)?;
    socket2::SockRef::from(&stream)
        .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
        .map_err(unsent)?;
    let (stream, guard) = guarded::Stream::new(stream);
    let (sender, connection) = hyper::client::conn::http1::Builder::new()
        .title_case_headers(true)
        .max_buf_size(MAX_READ_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::Unsent(error.to_string()))?;
    let driver = Driver(tokio::spawn(async move {
        // The reader of the response receives the same error and reports it.
        let _reported = connection.await;
    }));
    Ok(Connected { sender, driver, guard })
}
