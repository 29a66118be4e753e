//! HTTP/1.1 messages (RFC 9112): heads parsed by `httparse`, bodies framed by length, chunks or connection close.
//!
//! This module reads no sockets: its callers pass the bytes in. A peer can make us buffer at most
//! [`Limits::head_bytes`] bytes of a head and [`Limits::body_bytes`] bytes of a body that is collected whole. A
//! message whose length is ambiguous is refused (RFC 9112, 6.3), since a proxy in front of us may have interpreted it differently.

use thiserror::Error;

/// Most header fields in one head.
const MAX_HEADERS: usize = 64;
/// Longest chunk-size line, including extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Limits on the parts of one message that are buffered, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub head_bytes: usize,
    pub body_bytes: usize,
}

impl Default for Limits {
    /// 16 KiB of head, as common proxies allow; 1 MiB of body, about 250,000 tokens of text.
    fn default() -> Limits {
        Limits { head_bytes: 16 << 10, body_bytes: 1 << 20 }
    }
}

/// The reason why a message is invalid.
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
    /// The status of the response to a client that sent such a message (RFC 9110, 15.5).
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

/// Header fields in the order received. Names are compared without regard to case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// The first value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// All values of a field.
    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Whether a comma-separated field contains this token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A known number of bytes.
    Length(u64),
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub framing: Framing,
    pub keep_alive: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub framing: Framing,
    pub keep_alive: bool,
}

fn convert_headers(parsed: &[httparse::Header<'_>]) -> Result<Headers, HttpError> {
    let text = |value: &[u8]| {
        String::from_utf8(value.to_vec()).map_err(|_| HttpError::Head("a value is not UTF-8".into()))
    };
    parsed.iter().map(|h| Ok((h.name.to_owned(), text(h.value)?))).collect::<Result<_, _>>().map(Headers)
}

/// The framing that the headers state, or `None` if they state neither a length nor chunks.
fn parse_framing(headers: &Headers) -> Result<Option<Framing>, HttpError> {
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

fn parse_keep_alive(version: Option<u8>, headers: &Headers) -> Result<bool, HttpError> {
    match version {
        Some(1) => Ok(!headers.has_token("connection", "close")),
        Some(0) => Ok(headers.has_token("connection", "keep-alive")),
        _ => Err(HttpError::Version),
    }
}

fn convert_parse_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::Version => HttpError::Version,
        other => HttpError::Head(other.to_string()),
    }
}

/// Parses the head of a request. Returns it with its length in bytes, or `None` while it is incomplete.
pub fn parse_request(bytes: &[u8], limits: Limits) -> Result<Option<(Request, usize)>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut fields);
    match parsed.parse(bytes).map_err(convert_parse_error)? {
        httparse::Status::Partial if bytes.len() >= limits.head_bytes => {
            Err(HttpError::HeadTooLarge(limits.head_bytes))
        }
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(n) if n > limits.head_bytes => {
            Err(HttpError::HeadTooLarge(limits.head_bytes))
        }
        httparse::Status::Complete(n) => {
            let headers = convert_headers(parsed.headers)?;
            let framing = parse_framing(&headers)?.unwrap_or(Framing::Length(0));
            let keep_alive = parse_keep_alive(parsed.version, &headers)?;
            let method = parsed.method.unwrap_or_default().to_owned();
            let target = parsed.path.unwrap_or_default().to_owned();
            Ok(Some((Request { method, target, headers, framing, keep_alive }, n)))
        }
    }
}

/// Parses the head of a response. Returns it with its length in bytes, or `None` while it is incomplete.
pub fn parse_response(bytes: &[u8], limits: Limits) -> Result<Option<(Response, usize)>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut fields);
    match parsed.parse(bytes).map_err(convert_parse_error)? {
        httparse::Status::Partial if bytes.len() >= limits.head_bytes => {
            Err(HttpError::HeadTooLarge(limits.head_bytes))
        }
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(n) if n > limits.head_bytes => {
            Err(HttpError::HeadTooLarge(limits.head_bytes))
        }
        httparse::Status::Complete(n) => {
            let headers = convert_headers(parsed.headers)?;
            let status = parsed.code.unwrap_or_default();
            let stated = parse_framing(&headers)?;
            let has_no_body = status < 200 || status == 204 || status == 304;
            let framing =
                if has_no_body { Framing::Length(0) } else { stated.unwrap_or(Framing::UntilClose) };
            let keep_alive = parse_keep_alive(parsed.version, &headers)? && framing != Framing::UntilClose;
            Ok(Some((Response { status, headers, framing, keep_alive }, n)))
        }
    }
}

/// What a chunked body has next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    /// The remaining bytes of the chunk's data.
    Data(u64),
    /// The line end after the chunk's data.
    DataEnd,
    Trailer,
    Done,
}

/// Incremental decoder of a body: takes its bytes in any split and returns the content.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    framing: Framing,
    remaining: u64,
    chunk_state: ChunkState,
    line: Vec<u8>,
    /// Largest accepted chunk, in bytes.
    max_chunk_bytes: u64,
    /// Decoded bytes of a chunk whose end has not been seen.
    unconfirmed: usize,
}

impl BodyDecoder {
    /// A decoder for a body with this framing.
    pub fn new(framing: Framing) -> BodyDecoder {
        let remaining = if let Framing::Length(n) = framing { n } else { 0 };
        BodyDecoder {
            framing,
            remaining,
            chunk_state: ChunkState::Size,
            line: Vec::new(),
            max_chunk_bytes: u64::MAX,
            unconfirmed: 0,
        }
    }

    /// Treats a chunk that announces more bytes than this as malformed.
    pub fn with_max_chunk_bytes(self, max_chunk_bytes: u64) -> BodyDecoder {
        BodyDecoder { max_chunk_bytes, ..self }
    }

    /// How many of the last decoded bytes belong to a chunk whose end has not been seen. If the chunk does not end
    /// where its size says, these bytes were not valid chunk data.
    pub fn unconfirmed_bytes(&self) -> usize {
        self.unconfirmed
    }

    /// The framing of this body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the body has ended. Always `false` for a body that ends with the connection.
    pub fn is_done(&self) -> bool {
        match self.framing {
            Framing::Length(_) => self.remaining == 0,
            Framing::Chunked => self.chunk_state == ChunkState::Done,
            Framing::UntilClose => false,
        }
    }

    /// Decodes bytes, appends their content to `out` and returns how many of them belonged to this body.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        match self.framing {
            Framing::UntilClose => {
                out.extend_from_slice(bytes);
                Ok(bytes.len())
            }
            Framing::Length(_) => {
                let n = bytes.len().min(usize::try_from(self.remaining).unwrap_or(usize::MAX));
                out.extend_from_slice(&bytes[..n]);
                self.remaining -= n as u64;
                Ok(n)
            }
            Framing::Chunked => self.push_chunked(bytes, out),
        }
    }

    fn push_chunked(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        let mut at = 0;
        while at < bytes.len() && self.chunk_state != ChunkState::Done {
            if let ChunkState::Data(left) = self.chunk_state {
                let n = (bytes.len() - at).min(usize::try_from(left).unwrap_or(usize::MAX));
                out.extend_from_slice(&bytes[at..at + n]);
                self.unconfirmed += n;
                at += n;
                let left = left - n as u64;
                self.chunk_state = if left == 0 { ChunkState::DataEnd } else { ChunkState::Data(left) };
                continue;
            }
            // A plain byte loop is faster here than a search optimized for long inputs, since the lines are short.
            let end = bytes[at..].iter().take(MAX_CHUNK_LINE_BYTES + 1).position(|b| *b == b'\n');
            if let Some(end) = end
                && self.line.is_empty()
                && end <= MAX_CHUNK_LINE_BYTES
            {
                self.process_line(&bytes[at..at + end])?;
                at += end + 1;
                continue;
            }
            let line_end = end.map_or(bytes.len(), |end| at + end);
            self.line.extend_from_slice(&bytes[at..line_end]);
            if self.line.len() > MAX_CHUNK_LINE_BYTES {
                return Err(HttpError::Chunk);
            }
            at = end.map_or(line_end, |_| line_end + 1);
            if end.is_some() {
                self.process_buffered_line()?;
            }
        }
        Ok(at)
    }

    /// Processes the buffered line, which is complete.
    fn process_buffered_line(&mut self) -> Result<(), HttpError> {
        let mut line = std::mem::take(&mut self.line);
        let result = self.process_line(&line);
        // The buffer is reused, because a token stream has two such lines for each token.
        line.clear();
        self.line = line;
        result
    }

    /// Processes one line outside the data of a chunk. Lines end in CR LF; a bare LF is refused.
    fn process_line(&mut self, line: &[u8]) -> Result<(), HttpError> {
        let Some(line) = line.strip_suffix(b"\r") else { return Err(HttpError::Chunk) };
        self.chunk_state = match self.chunk_state {
            ChunkState::Size => {
                let digits = line.iter().position(|b| *b == b';').map_or(line, |end| &line[..end]);
                let digits = std::str::from_utf8(digits).map_err(|_| HttpError::Chunk)?.trim_end();
                if digits.is_empty() || digits.len() > 15 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(HttpError::Chunk);
                }
                match u64::from_str_radix(digits, 16).map_err(|_| HttpError::Chunk)? {
                    0 => ChunkState::Trailer,
                    n if n > self.max_chunk_bytes => return Err(HttpError::Chunk),
                    n => ChunkState::Data(n),
                }
            }
            ChunkState::DataEnd if line.is_empty() => {
                self.unconfirmed = 0;
                ChunkState::Size
            }
            ChunkState::DataEnd => return Err(HttpError::Chunk),
            ChunkState::Trailer if line.is_empty() => ChunkState::Done,
            other => other,
        };
        Ok(())
    }
}

/// Writes one chunk of a chunked body. Writes nothing for empty data, since an empty chunk would end the body.
pub fn write_chunk(data: &[u8], out: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Shortest time from the end of an answer until its connection carries the next request. A faulty server may send a
/// second answer some milliseconds after the first, and nothing but its order tells which request an answer belongs to.
pub const MIN_REUSE_REST: std::time::Duration = std::time::Duration::from_millis(30);

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
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

/// Writes a response with its whole body.
pub fn write_response(
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
    keep_alive: bool,
    out: &mut Vec<u8>,
) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    write_headers(headers, out);
    if status != 204 {
        out.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(if keep_alive { b"\r\n" } else { b"connection: close\r\n\r\n" });
    out.extend_from_slice(body);
}

/// Writes the head of a response whose body follows in chunks.
pub fn write_stream_head(status: u16, headers: &[(&str, &str)], out: &mut Vec<u8>) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    write_headers(headers, out);
    out.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
}

/// Writes a request with its whole body.
pub fn write_request(
    method: &str,
    target: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    out: &mut Vec<u8>,
) {
    out.extend_from_slice(format!("{method} {target} HTTP/1.1\r\nhost: {host}\r\n").as_bytes());
    write_headers(headers, out);
    if !body.is_empty() || method == "POST" {
        out.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Writes the head of a request with `Expect: 100-continue`. The body follows after the peer's 100 response (RFC
/// 9110, 10.1.1).
pub fn write_expect_continue_head(
    method: &str,
    target: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: usize,
    out: &mut Vec<u8>,
) {
    out.extend_from_slice(format!("{method} {target} HTTP/1.1\r\nhost: {host}\r\n").as_bytes());
    write_headers(headers, out);
    out.extend_from_slice(format!("content-length: {body}\r\nexpect: 100-continue\r\n\r\n").as_bytes());
}

/// Writes header fields.
fn write_headers(headers: &[(&str, &str)], out: &mut Vec<u8>) {
    for (name, value) in headers {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        // Control characters are dropped, so that a value from outside cannot end its line.
        out.extend(value.bytes().filter(|b| *b >= b' ' && *b != 127));
        out.extend_from_slice(b"\r\n");
    }
}
