//! A mock tool server that speaks MCP over HTTP. The tool `stock` only returns data; `place_order` has a
//! lasting effect.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use elderstage_net::{Conn, Listener, ListenerHandle, NetError, ShutdownHandle, sleep, spawn};
use elderstage_protocol::jsonrpc::{self, Id, Message, RpcError};
use elderstage_protocol::{http, mcp, sse};
use serde_json::{Value, json};

use crate::host::lock;
use crate::traffic::{Log, TrafficEvent};

/// A connection that sends no request for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// How often a hung call checks whether its peer is still connected.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Names of the tools, and whether each has a lasting effect.
pub const TOOLS: [(&str, bool); 2] = [("stock", false), ("place_order", true)];

/// A fault of a tool server.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ToolFault {
    #[default]
    None,
    /// Runs the call and responds after this delay.
    Slow(Duration),
    /// Accepts calls and neither runs them nor responds.
    Hang,
    /// Runs the call and responds with invalid JSON.
    Garbled,
    /// Runs the call and closes the connection without a response.
    Lost,
    /// Does not run the call and responds with the JSON-RPC internal error, which does not tell whether the
    /// call ran.
    Error,
}

/// State shared by the connections of a tool server.
struct Shared {
    name: String,
    addr: SocketAddr,
    log: Log,
    fault: Mutex<ToolFault>,
    connections: Mutex<HashMap<u64, ShutdownHandle>>,
    listener_stop: Mutex<Option<ListenerHandle>>,
    next_id: AtomicU64,
    order_count: AtomicU64,
    answers_by_stream: bool,
}

/// A running tool server.
pub struct ToolServer {
    shared: Arc<Shared>,
}

impl ToolServer {
    /// Starts a tool server. With `sse` it responds to calls with an event stream, as Streamable HTTP allows,
    /// instead of a JSON body.
    pub fn start(name: &str, listen: SocketAddr, sse: bool, log: Log) -> std::io::Result<ToolServer> {
        let listener = Listener::bind(listen)?;
        let shared = Arc::new(Shared {
            name: name.into(),
            addr: listener.addr(),
            log,
            fault: Mutex::default(),
            connections: Mutex::default(),
            listener_stop: Mutex::new(None),
            next_id: AtomicU64::new(1),
            order_count: AtomicU64::new(0),
            answers_by_stream: sse,
        });
        start_listening(&shared, listener);
        Ok(ToolServer { shared })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Number of orders placed so far.
    pub fn order_count(&self) -> u64 {
        self.shared.order_count.load(Ordering::SeqCst)
    }

    /// Sets the fault; it applies to later calls.
    pub fn set_fault(&self, fault: ToolFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// The process dies: its connections close. The orders placed so far still count.
    pub fn kill(&self) {
        if let Some(stop) = lock(&self.shared.listener_stop).take() {
            stop.stop();
            for connection in lock(&self.shared.connections).drain() {
                connection.1.shutdown();
            }
        }
    }

    /// Listens again at the same address if it was killed.
    pub fn restart(&self) -> std::io::Result<()> {
        if lock(&self.shared.listener_stop).is_none() {
            start_listening(&self.shared, Listener::bind(self.shared.addr)?);
        }
        Ok(())
    }
}

/// Accepts connections and serves each in its own coroutine.
fn start_listening(shared: &Arc<Shared>, listener: Listener) {
    *lock(&shared.listener_stop) = Some(listener.handle());
    let shared = shared.clone();
    spawn(move || {
        let on_connection = {
            let shared = shared.clone();
            move |conn: Conn| {
                let connection_id = shared.next_id.fetch_add(1, Ordering::Relaxed);
                lock(&shared.connections).insert(connection_id, conn.socket());
                let shared = shared.clone();
                spawn(move || {
                    serve_connection(&shared, conn);
                    lock(&shared.connections).remove(&connection_id);
                });
            }
        };
        listener.serve(on_connection, |_| {});
    });
}

/// Serves the requests of a connection in order.
fn serve_connection(shared: &Arc<Shared>, mut conn: Conn) {
    loop {
        conn.set_read_timeout(Some(IDLE_TIMEOUT));
        let Ok(head) = conn.receive_request() else { return };
        if conn.send_continue(&head).is_err() {
            return;
        }
        let Ok(body) = conn.receive_body(head.framing) else { return };
        if !matches!(serve_request(shared, &mut conn, &head, &body), Ok(true)) {
            conn.socket().shutdown();
            return;
        }
    }
}

/// Sends an HTTP response.
fn send_response(
    conn: &mut Conn,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<(), NetError> {
    let mut out = Vec::new();
    http::write_response(status, headers, body, true, &mut out);
    conn.write(&out)
}

/// Serves one HTTP request. Returns whether the connection stays open.
fn serve_request(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    head: &http::Request,
    body: &[u8],
) -> Result<bool, NetError> {
    let json_headers = [("content-type", "application/json")];
    if head.method != "POST" {
        send_response(conn, 405, &[], b"")?;
        return Ok(true);
    }
    let reply = match jsonrpc::parse(body) {
        Err(invalid) => jsonrpc::response(invalid.id.as_ref(), Err(invalid.error)),
        Ok(Message::Notification { .. } | Message::Response { .. }) => {
            send_response(conn, 202, &[], b"")?;
            return Ok(true);
        }
        Ok(Message::Request { id, method, params }) => match method.as_str() {
            "initialize" => {
                let protocol_version =
                    params.get("protocolVersion").and_then(Value::as_str).unwrap_or_default();
                let result =
                    mcp::initialize_result(mcp::negotiate(protocol_version), "stand-in-tools", "0.1.0");
                let session = format!("{}-{}", shared.name, shared.next_id.fetch_add(1, Ordering::Relaxed));
                let headers = [json_headers[0], (mcp::SESSION_HEADER, session.as_str())];
                send_response(conn, 200, &headers, jsonrpc::response(Some(&id), Ok(result)).as_bytes())?;
                return Ok(true);
            }
            "ping" => jsonrpc::response(Some(&id), Ok(json!({}))),
            "tools/list" => {
                let describe = |(name, has_effect): (&str, bool)| mcp::Tool {
                    name: name.into(),
                    description: "A stand-in.".into(),
                    read_only: !has_effect,
                };
                jsonrpc::response(Some(&id), Ok(mcp::tools_result(&TOOLS.map(describe))))
            }
            "tools/call" => return serve_call(shared, conn, head, &id, params),
            _ => {
                let error = RpcError::new(jsonrpc::METHOD_NOT_FOUND, format!("no method {method}"));
                jsonrpc::response(Some(&id), Err(error))
            }
        },
    };
    send_response(conn, 200, &json_headers, reply.as_bytes())?;
    Ok(true)
}

/// Serves a tool call. Returns whether the connection stays open.
fn serve_call(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    head: &http::Request,
    id: &Id,
    params: serde_json::Map<String, Value>,
) -> Result<bool, NetError> {
    let json_headers = [("content-type", "application/json")];
    let rid = head.headers.get("x-request-id").unwrap_or("?").to_owned();
    let call = match mcp::parse_tool_call(params) {
        Ok(call) => call,
        Err(error) => {
            send_response(conn, 200, &json_headers, jsonrpc::response(Some(id), Err(error)).as_bytes())?;
            return Ok(true);
        }
    };
    let Some((_, has_effect)) = TOOLS.into_iter().find(|(name, _)| *name == call.name) else {
        let error = RpcError::new(jsonrpc::INVALID_PARAMS, format!("no tool {}", call.name));
        send_response(conn, 200, &json_headers, jsonrpc::response(Some(id), Err(error)).as_bytes())?;
        return Ok(true);
    };
    let log_event = |event| shared.log.record(&shared.name, event);
    let log_outcome =
        |outcome: &str| log_event(TrafficEvent::ToolAnswered { rid: rid.clone(), how: outcome.into() });
    log_event(TrafficEvent::ToolReceived { rid: rid.clone(), tool: call.name.clone(), effect: has_effect });
    let fault = lock(&shared.fault).clone();
    match fault {
        ToolFault::Hang => {
            while conn.is_idle() {
                sleep(PEER_CHECK_INTERVAL);
            }
            log_outcome("hung");
            return Ok(false);
        }
        ToolFault::Error => {
            let error = RpcError::new(jsonrpc::INTERNAL_ERROR, "out of order");
            log_outcome("error");
            send_response(conn, 200, &json_headers, jsonrpc::response(Some(id), Err(error)).as_bytes())?;
            return Ok(true);
        }
        _ => {}
    }
    log_event(TrafficEvent::ToolRan { rid: rid.clone(), tool: call.name.clone(), effect: has_effect });
    let result_text = if has_effect {
        format!("order {} placed", shared.order_count.fetch_add(1, Ordering::SeqCst) + 1)
    } else {
        "12 in stock".to_owned()
    };
    match fault {
        ToolFault::Slow(delay) => sleep(delay),
        ToolFault::Garbled => {
            log_outcome("garbled");
            send_response(conn, 200, &json_headers, b"{\"jsonrpc\": \"2.0\", \"id\": ")?;
            return Ok(true);
        }
        ToolFault::Lost => {
            log_outcome("lost");
            return Ok(false);
        }
        _ => {}
    }
    let reply = jsonrpc::response(Some(id), Ok(mcp::text_result(&result_text, false)));
    let sent = if shared.answers_by_stream {
        let mut event = Vec::new();
        sse::write_event(Some("message"), &reply, &mut event);
        let mut out = Vec::new();
        http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
        http::write_chunk(&event, &mut out);
        out.extend_from_slice(http::LAST_CHUNK);
        conn.write(&out)
    } else {
        send_response(conn, 200, &json_headers, reply.as_bytes())
    };
    log_outcome(if sent.is_ok() { "answered" } else { "left" });
    sent.map(|()| true)
}
