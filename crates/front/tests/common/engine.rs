//! A scripted engine: answers each request with the same turn, and records what it got.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use elderstage_net::{Conn, Listener, ListenerHandle, NetError, spawn};
use elderstage_protocol::http;

/// Time between the last event and the comment after it, so that they arrive apart.
const COMMENT_DELAY: Duration = Duration::from_millis(20);

/// A request that the engine received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub request_id: String,
    pub idempotency_key: Option<String>,
    /// Number of its connection, in the order in which they were accepted.
    pub connection: usize,
    pub body: String,
}

/// What the engine does besides answering.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineScript {
    /// Time until the answer.
    pub answer_delay: Duration,
    /// The answer is sent a second time after this time.
    pub repeat_answer_after: Option<Duration>,
    /// Comes after the last event of a stream, in a chunk and a packet of its own.
    pub last_comment: &'static str,
}

/// An engine that reads and writes. Its answer repeats the text between `<<` and `>>` in the request.
pub struct ScriptedEngine {
    pub addr: SocketAddr,
    records: Arc<Mutex<EngineRecords>>,
    listener: ListenerHandle,
}

/// What the engine saw and did.
#[derive(Debug, Default)]
struct EngineRecords {
    requests: Vec<ReceivedRequest>,
    /// Longest time from an answer to its repetition.
    latest_second_answer: Duration,
}

impl Drop for ScriptedEngine {
    fn drop(&mut self) {
        self.listener.stop();
    }
}

impl ScriptedEngine {
    pub fn start(script: EngineScript) -> ScriptedEngine {
        elderstage_net::init(2);
        let listener = Listener::bind("127.0.0.1:0").unwrap();
        let (addr, handle) = (listener.addr(), listener.handle());
        let records = Arc::new(Mutex::new(EngineRecords::default()));
        let recorded = records.clone();
        spawn(move || {
            let mut connections = 0;
            let on_connection = |conn: Conn| {
                let (recorded, number) = (recorded.clone(), connections);
                connections += 1;
                spawn(move || {
                    // The front may close the connection at any time.
                    let _ = serve(conn, number, script, &recorded);
                });
            };
            listener.serve(on_connection, |error| panic!("accept: {error}"));
        });
        ScriptedEngine { addr, records, listener: handle }
    }

    /// The requests for answers that were received so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.records.lock().unwrap().requests.clone()
    }

    /// The longest time from an answer to its repetition so far.
    pub fn latest_second_answer(&self) -> Duration {
        self.records.lock().unwrap().latest_second_answer
    }
}

/// The marked text of a request.
pub fn marked_text(body: &str) -> &str {
    let text = body.split("<<").nth(1).unwrap_or_default();
    text.split(">>").next().unwrap_or_default()
}

fn serve(
    mut conn: Conn,
    connection: usize,
    script: EngineScript,
    records: &Arc<Mutex<EngineRecords>>,
) -> Result<(), NetError> {
    loop {
        let head = conn.receive_request()?;
        conn.send_continue(&head)?;
        let body = String::from_utf8(conn.receive_body(head.framing)?).unwrap();
        if head.method == "GET" {
            let mut answer = Vec::new();
            http::write_response(200, &[], b"", true, &mut answer);
            conn.write(&answer)?;
            continue;
        }
        let header = |name: &str| head.headers.get(name).map(str::to_owned);
        let (events, end) = write_turn(marked_text(&body), script.last_comment);
        records.lock().unwrap().requests.push(ReceivedRequest {
            request_id: header("x-request-id").unwrap_or_default(),
            idempotency_key: header("idempotency-key"),
            connection,
            body,
        });
        elderstage_net::sleep(script.answer_delay);
        conn.write(&events)?;
        if !script.last_comment.is_empty() {
            elderstage_net::sleep(COMMENT_DELAY);
        }
        conn.write(&end)?;
        if let Some(delay) = script.repeat_answer_after {
            let mut second = conn.try_clone_for_writing()?;
            let (records, answered_at) = (records.clone(), Instant::now());
            // A thread wakes up closer to its time than a coroutine on a busy machine.
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                // The front may have closed the connection.
                let _ = second.write(&[events, end].concat());
                let latest = &mut records.lock().unwrap().latest_second_answer;
                *latest = answered_at.elapsed().max(*latest);
            });
        }
    }
}

/// A streamed turn with this text: its head and events, and what ends it.
fn write_turn(text: &str, last_comment: &str) -> (Vec<u8>, Vec<u8>) {
    let chunk = |delta: serde_json::Value, finish: Option<&str>| {
        let choice = serde_json::json!({"index": 0, "delta": delta, "finish_reason": finish});
        format!("data: {}\n\n", serde_json::json!({"choices": [choice]}))
    };
    let events = chunk(serde_json::json!({"content": text}), None)
        + &chunk(serde_json::json!({}), Some("stop"))
        + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":5}}\n\ndata: [DONE]\n\n";
    let (mut answer, mut end) = (Vec::new(), Vec::new());
    http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut answer);
    http::write_chunk(events.as_bytes(), &mut answer);
    if !last_comment.is_empty() {
        http::write_chunk(last_comment.as_bytes(), &mut end);
    }
    end.extend_from_slice(http::LAST_CHUNK);
    (answer, end)
}
