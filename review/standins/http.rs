//! HTTP/1.1 as the pages describe it: requests and responses with a length, in chunks, or ended by
//! the connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(own, _)| own.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
        Some(unescape(pair))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut at, mut out) = (0, Vec::new());
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that have been read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16384];
        let read = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..read]);
        Ok(read)
    }

    fn read_head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
                return Ok(Some((first, headers.collect())));
            }
            if self.fill()? == 0 {
                return if self.rest.is_empty() { Ok(None) } else { Err(eof()) };
            }
        }
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if self.fill()? == 0 {
                return Err(eof());
            }
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let line = self.rest.drain(..end + 2).collect::<Vec<_>>();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(eof());
            }
        }
    }

    /// The next chunk of a chunked body; empty for the last one.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_line()?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
        let chunk = self.read_exact(size)?;
        self.read_line()?;
        Ok(chunk)
    }

    fn read_body(&mut self, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
        if header(headers, "transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend_from_slice(&chunk);
            }
        }
        let length = header(headers, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.read_exact(length)
    }

    /// Reads a request; `None` if the connection ends before one begins.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.read_head()? else { return Ok(None) };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let body = self.read_body(&headers)?;
        Ok(Some(Request { method, target, headers, body }))
    }

    /// Reads the head of a response: its status and headers.
    pub fn read_response_head(&mut self) -> io::Result<(u16, Vec<(String, String)>)> {
        let Some((first, headers)) = self.read_head()? else { return Err(eof()) };
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        Ok((status, headers))
    }

    pub fn read_response(&mut self) -> io::Result<Answer> {
        let (status, headers) = self.read_response_head()?;
        let body = self.read_body(&headers)?;
        Ok(Answer { status, headers, body })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other end has closed or reset the connection.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

fn eof() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended")
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn respond(status: u16, extra: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in extra {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection of a listener in a thread of its own, until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || handle(Connection::new(stream)));
        }
    });
}

pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(Connection::new(stream))
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
