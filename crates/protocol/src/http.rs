//! HTTP/1.1 messages (RFC 9112): heads parsed by `httparse`, bodies by length, chunks or close.
//!
//! A peer can make us hold at most [`Limits::head`] bytes of head and [`Limits::body`] bytes of a body
//! that is gathered whole. A message whose length can be read in two ways is refused (RFC 9112, 6.3),
//! since a proxy in front of us may have read it in the other.

use thiserror::Error;

/// Header fields that one head may hold; more is an error.
const MOST_HEADERS: usize = 64;
/// Longest line that tells a chunk's size, extensions included; in bytes.
const CHUNK_LINE: usize = 256;

/// Bounds on what one message may make us hold, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub head: usize,
    pub body: usize,
}

impl Default for Limits {
    /// 16 KiB of head, as common proxies allow; 1 MiB of body, some 250,000 tokens of text.
    fn default() -> Limits {
        Limits { head: 16 << 10, body: 1 << 20 }
    }
}

/// What is wrong with a message.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    #[error("malformed head: {0}")]
    Head(String),
    #[error("head over {0} bytes")]
    HeadTooLarge(usize),
    #[error("body over {0} bytes")]
    BodyTooLarge(usize),
    #[error("content-length is not one whole number")]
    Length,
    #[error("content-length and transfer-encoding together")]
    Ambiguous,
    #[error("transfer-encoding other than chunked")]
    Encoding,
    #[error("malformed chunk")]
    Chunk,
    #[error("HTTP version other than 1.0 and 1.1")]
    Version,
}

impl HttpError {
    /// The status that tells a client of it (RFC 9110, 15.5).
    pub fn status(&self) -> u16 {
        match self {
            HttpError::HeadTooLarge(_) => 431,
            HttpError::BodyTooLarge(_) => 413,
            HttpError::Encoding => 501,
            HttpError::Version => 505,
            _ => 400,
        }
    }
}

/// Header fields in the order they came; names compare without case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Whether a comma-separated field names this token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

/// A request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub framing: Framing,
    pub keep_alive: bool,
}

/// A response's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub framing: Framing,
    pub keep_alive: bool,
}

fn headers(parsed: &[httparse::Header<'_>]) -> Result<Headers, HttpError> {
    let text = |value: &[u8]| {
        String::from_utf8(value.to_vec()).map_err(|_| HttpError::Head("a value is not UTF-8".into()))
    };
    parsed.iter().map(|h| Ok((h.name.to_owned(), text(h.value)?))).collect::<Result<_, _>>().map(Headers)
}

/// `None`: neither a length nor chunks are told.
fn framing(headers: &Headers) -> Result<Option<Framing>, HttpError> {
    let mut lengths = headers.all("content-length").flat_map(|v| v.split(','));
    let length = match lengths.next() {
        None => None,
        Some(first) => {
            let first = first.trim();
            if first.is_empty() || !first.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::Length);
            }
            if lengths.any(|other| other.trim() != first) {
                return Err(HttpError::Length);
            }
            Some(first.parse::<u64>().map_err(|_| HttpError::Length)?)
        }
    };
    let mut codings = headers.all("transfer-encoding").flat_map(|v| v.split(',')).map(str::trim);
    match (codings.next(), length) {
        (None, length) => Ok(length.map(Framing::Length)),
        (Some(_), Some(_)) => Err(HttpError::Ambiguous),
        (Some(one), None) if one.eq_ignore_ascii_case("chunked") && codings.next().is_none() => {
            Ok(Some(Framing::Chunked))
        }
        _ => Err(HttpError::Encoding),
    }
}

fn keep_alive(version: Option<u8>, headers: &Headers) -> Result<bool, HttpError> {
    match version {
        Some(1) => Ok(!headers.has_token("connection", "close")),
        Some(0) => Ok(headers.has_token("connection", "keep-alive")),
        _ => Err(HttpError::Version),
    }
}

fn head_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::Version => HttpError::Version,
        other => HttpError::Head(other.to_string()),
    }
}

/// A request's head and its length in bytes, or `None` while it is not whole.
pub fn parse_request(bytes: &[u8], limits: Limits) -> Result<Option<(Request, usize)>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut fields);
    match parsed.parse(bytes).map_err(head_error)? {
        httparse::Status::Partial if bytes.len() >= limits.head => Err(HttpError::HeadTooLarge(limits.head)),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(n) if n > limits.head => Err(HttpError::HeadTooLarge(limits.head)),
        httparse::Status::Complete(n) => {
            let headers = headers(parsed.headers)?;
            let framing = framing(&headers)?.unwrap_or(Framing::Length(0));
            let keep_alive = keep_alive(parsed.version, &headers)?;
            let method = parsed.method.unwrap_or_default().to_owned();
            let target = parsed.path.unwrap_or_default().to_owned();
            Ok(Some((Request { method, target, headers, framing, keep_alive }, n)))
        }
    }
}

/// A response's head and its length in bytes, or `None` while it is not whole.
pub fn parse_response(bytes: &[u8], limits: Limits) -> Result<Option<(Response, usize)>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut fields);
    match parsed.parse(bytes).map_err(head_error)? {
        httparse::Status::Partial if bytes.len() >= limits.head => Err(HttpError::HeadTooLarge(limits.head)),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(n) if n > limits.head => Err(HttpError::HeadTooLarge(limits.head)),
        httparse::Status::Complete(n) => {
            let headers = headers(parsed.headers)?;
            let status = parsed.code.unwrap_or_default();
            let told = framing(&headers)?;
            let bare = status < 200 || status == 204 || status == 304;
            let framing = if bare { Framing::Length(0) } else { told.unwrap_or(Framing::UntilClose) };
            let keep_alive = keep_alive(parsed.version, &headers)? && framing != Framing::UntilClose;
            Ok(Some((Response { status, headers, framing, keep_alive }, n)))
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// Takes a body's bytes as they come, in any split, and gives its content.
#[derive(Clone, Debug)]
pub struct Body {
    framing: Framing,
    left: u64,
    chunk: Chunk,
    line: Vec<u8>,
    /// Largest chunk that is taken.
    most_chunk: u64,
    /// Content given so far of a chunk whose end has not come.
    unsure: usize,
}

impl Body {
    pub fn new(framing: Framing) -> Body {
        let left = if let Framing::Length(n) = framing { n } else { 0 };
        Body { framing, left, chunk: Chunk::Size, line: Vec::new(), most_chunk: u64::MAX, unsure: 0 }
    }

    /// A chunk that claims more bytes than this is malformed.
    pub fn with_most_chunk(self, most_chunk: u64) -> Body {
        Body { most_chunk, ..self }
    }

    /// How many of the bytes given last are of a chunk whose end has not come where its size says: they may still
    /// turn out to be no chunk's.
    pub fn unsure(&self) -> usize {
        self.unsure
    }

    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the body has ended. One that runs until the peer closes ends only there.
    pub fn done(&self) -> bool {
        match self.framing {
            Framing::Length(_) => self.left == 0,
            Framing::Chunked => self.chunk == Chunk::Done,
            Framing::UntilClose => false,
        }
    }

    /// Takes bytes, adds their content to `out`, and tells how many belonged to this body.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        match self.framing {
            Framing::UntilClose => {
                out.extend_from_slice(bytes);
                Ok(bytes.len())
            }
            Framing::Length(_) => {
                let n = bytes.len().min(usize::try_from(self.left).unwrap_or(usize::MAX));
                out.extend_from_slice(&bytes[..n]);
                self.left -= n as u64;
                Ok(n)
            }
            Framing::Chunked => self.chunks(bytes, out),
        }
    }

    fn chunks(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        let mut at = 0;
        while at < bytes.len() && self.chunk != Chunk::Done {
            if let Chunk::Data(left) = self.chunk {
                let n = (bytes.len() - at).min(usize::try_from(left).unwrap_or(usize::MAX));
                out.extend_from_slice(&bytes[at..at + n]);
                self.unsure += n;
                at += n;
                let left = left - n as u64;
                self.chunk = if left == 0 { Chunk::DataEnd } else { Chunk::Data(left) };
                continue;
            }
            // Short lines are looked through byte by byte; a search that is made for long ones costs more.
            let end = bytes[at..].iter().take(CHUNK_LINE + 1).position(|b| *b == b'\n');
            if let Some(end) = end
                && self.line.is_empty()
                && end <= CHUNK_LINE
            {
                self.take_line(&bytes[at..at + end])?;
                at += end + 1;
                continue;
            }
            let upto = end.map_or(bytes.len(), |end| at + end);
            self.line.extend_from_slice(&bytes[at..upto]);
            if self.line.len() > CHUNK_LINE {
                return Err(HttpError::Chunk);
            }
            at = end.map_or(upto, |_| upto + 1);
            if end.is_some() {
                self.line_ended()?;
            }
        }
        Ok(at)
    }

    /// One whole line outside a chunk's data has come. Lines end in CR LF; a bare LF is refused.
    fn line_ended(&mut self) -> Result<(), HttpError> {
        let mut held = std::mem::take(&mut self.line);
        let done = self.take_line(&held);
        // The buffer is kept: streams of tokens have two such lines for each.
        held.clear();
        self.line = held;
        done
    }

    fn take_line(&mut self, line: &[u8]) -> Result<(), HttpError> {
        let Some(line) = line.strip_suffix(b"\r") else { return Err(HttpError::Chunk) };
        self.chunk = match self.chunk {
            Chunk::Size => {
                let digits = line.iter().position(|b| *b == b';').map_or(line, |end| &line[..end]);
                let digits = std::str::from_utf8(digits).map_err(|_| HttpError::Chunk)?.trim_end();
                if digits.is_empty() || digits.len() > 15 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(HttpError::Chunk);
                }
                match u64::from_str_radix(digits, 16).map_err(|_| HttpError::Chunk)? {
                    0 => Chunk::Trailer,
                    n if n > self.most_chunk => return Err(HttpError::Chunk),
                    n => Chunk::Data(n),
                }
            }
            Chunk::DataEnd if line.is_empty() => {
                self.unsure = 0;
                Chunk::Size
            }
            Chunk::DataEnd => return Err(HttpError::Chunk),
            Chunk::Trailer if line.is_empty() => Chunk::Done,
            other => other,
        };
        Ok(())
    }
}

/// Writes one chunk of a chunked body. Empty data writes nothing, since it would end the body.
pub fn write_chunk(data: &[u8], out: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        406 => "Not Acceptable",
        408 => "Request Timeout",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        424 => "Failed Dependency",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}

/// A response with its whole body.
pub fn write_response(
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
    keep_alive: bool,
    out: &mut Vec<u8>,
) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
    fields(headers, out);
    if status != 204 {
        out.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(if keep_alive { b"\r\n" } else { b"connection: close\r\n\r\n" });
    out.extend_from_slice(body);
}

/// The head of a response whose body follows in chunks.
pub fn write_stream_head(status: u16, headers: &[(&str, &str)], out: &mut Vec<u8>) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
    fields(headers, out);
    out.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
}

/// A request with its whole body.
pub fn write_request(
    method: &str,
    target: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    out: &mut Vec<u8>,
) {
    out.extend_from_slice(format!("{method} {target} HTTP/1.1\r\nhost: {host}\r\n").as_bytes());
    fields(headers, out);
    if !body.is_empty() || method == "POST" {
        out.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// A request's head alone, with the length of its body; the body goes when the peer has said to go on (RFC 9110,
/// 10.1.1).
pub fn write_waiting_head(
    method: &str,
    target: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: usize,
    out: &mut Vec<u8>,
) {
    out.extend_from_slice(format!("{method} {target} HTTP/1.1\r\nhost: {host}\r\n").as_bytes());
    fields(headers, out);
    out.extend_from_slice(format!("content-length: {body}\r\nexpect: 100-continue\r\n\r\n").as_bytes());
}

fn fields(headers: &[(&str, &str)], out: &mut Vec<u8>) {
    for (name, value) in headers {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        // A value from outside must not end its line.
        out.extend(value.bytes().filter(|b| *b >= b' ' && *b != 127));
        out.extend_from_slice(b"\r\n");
    }
}
