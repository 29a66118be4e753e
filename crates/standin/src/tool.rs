//! A tool server on a socket, speaking MCP: `stock` looks something up, `place_order` has a lasting effect.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use elderstage_net::{Conn, Listener, NetError, Socket, Stop, go, sleep};
use elderstage_protocol::jsonrpc::{self, Id, Message, RpcError};
use elderstage_protocol::{http, mcp, sse};
use serde_json::{Value, json};

use crate::host::lock;
use crate::traffic::{Log, Seen};

const IDLE: Duration = Duration::from_secs(120);
const LOOK: Duration = Duration::from_millis(50);

/// The tools, and which have a lasting effect.
pub const TOOLS: [(&str, bool); 2] = [("stock", false), ("place_order", true)];

/// What is wrong with a tool server.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ToolFault {
    #[default]
    None,
    /// Runs the call, and answers so much later.
    Slow(Duration),
    /// Takes calls, never runs or answers them.
    Hang,
    /// Runs the call, and answers what is no JSON.
    Garbled,
    /// Runs the call, and closes the connection in place of an answer.
    Lost,
    /// Answers each call with an internal error of JSON-RPC, without saying whether it ran (it did not).
    Error,
}

struct Shared {
    name: String,
    addr: SocketAddr,
    log: Log,
    fault: Mutex<ToolFault>,
    sockets: Mutex<HashMap<u64, Socket>>,
    listening: Mutex<Option<Stop>>,
    next: AtomicU64,
    orders: AtomicU64,
    sse: bool,
}

/// A running tool server.
pub struct ToolServer {
    shared: Arc<Shared>,
}

impl ToolServer {
    /// Starts one. `sse`: answers calls by a stream, as Streamable HTTP allows, in place of one JSON body.
    pub fn start(name: &str, listen: SocketAddr, sse: bool, log: Log) -> std::io::Result<ToolServer> {
        let listener = Listener::bind(listen)?;
        let shared = Arc::new(Shared {
            name: name.into(),
            addr: listener.addr(),
            log,
            fault: Mutex::default(),
            sockets: Mutex::default(),
            listening: Mutex::new(None),
            next: AtomicU64::new(1),
            orders: AtomicU64::new(0),
            sse,
        });
        run(&shared, listener);
        Ok(ToolServer { shared })
    }

    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    pub fn orders(&self) -> u64 {
        self.shared.orders.load(Ordering::SeqCst)
    }

    pub fn fault(&self, fault: ToolFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// The process dies; what it has done stays done.
    pub fn kill(&self) {
        if let Some(stop) = lock(&self.shared.listening).take() {
            stop.stop();
            for socket in lock(&self.shared.sockets).drain() {
                socket.1.shut();
            }
        }
    }

    pub fn revive(&self) -> std::io::Result<()> {
        if lock(&self.shared.listening).is_none() {
            run(&self.shared, Listener::bind(self.shared.addr)?);
        }
        Ok(())
    }
}

fn run(shared: &Arc<Shared>, listener: Listener) {
    *lock(&shared.listening) = Some(listener.stopper());
    let shared = shared.clone();
    go(move || {
        let accept = {
            let shared = shared.clone();
            move |conn: Conn| {
                let number = shared.next.fetch_add(1, Ordering::Relaxed);
                lock(&shared.sockets).insert(number, conn.socket());
                let shared = shared.clone();
                go(move || {
                    connection(&shared, conn);
                    lock(&shared.sockets).remove(&number);
                });
            }
        };
        listener.serve(accept, |_| {});
    });
}

fn connection(shared: &Arc<Shared>, mut conn: Conn) {
    loop {
        conn.set_read_timeout(Some(IDLE));
        let Ok(head) = conn.request() else { return };
        if conn.take_body(&head).is_err() {
            return;
        }
        let Ok(body) = conn.body(head.framing) else { return };
        if !matches!(request(shared, &mut conn, &head, &body), Ok(true)) {
            conn.socket().shut();
            return;
        }
    }
}

fn answer(conn: &mut Conn, status: u16, headers: &[(&str, &str)], body: &[u8]) -> Result<(), NetError> {
    let mut out = Vec::new();
    http::write_response(status, headers, body, true, &mut out);
    conn.write(&out)
}

/// Answers one HTTP request; `false` ends the connection.
fn request(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    head: &http::Request,
    body: &[u8],
) -> Result<bool, NetError> {
    let json = [("content-type", "application/json")];
    if head.method != "POST" {
        answer(conn, 405, &[], b"")?;
        return Ok(true);
    }
    let said = match jsonrpc::parse(body) {
        Err(invalid) => jsonrpc::response(invalid.id.as_ref(), Err(invalid.error)),
        Ok(Message::Notification { .. } | Message::Response { .. }) => {
            answer(conn, 202, &[], b"")?;
            return Ok(true);
        }
        Ok(Message::Request { id, method, params }) => match method.as_str() {
            "initialize" => {
                let asked = params.get("protocolVersion").and_then(Value::as_str).unwrap_or_default();
                let result = mcp::initialize_result(mcp::negotiate(asked), "stand-in-tools", "0.1.0");
                let session = format!("{}-{}", shared.name, shared.next.fetch_add(1, Ordering::Relaxed));
                let headers = [json[0], (mcp::SESSION_HEADER, session.as_str())];
                answer(conn, 200, &headers, jsonrpc::response(Some(&id), Ok(result)).as_bytes())?;
                return Ok(true);
            }
            "ping" => jsonrpc::response(Some(&id), Ok(json!({}))),
            "tools/list" => {
                let tool = |(name, effect): (&str, bool)| mcp::Tool {
                    name: name.into(),
                    description: "A stand-in.".into(),
                    read_only: !effect,
                };
                jsonrpc::response(Some(&id), Ok(mcp::tools_result(&TOOLS.map(tool))))
            }
            "tools/call" => return call(shared, conn, head, &id, params),
            _ => {
                let error = RpcError::new(jsonrpc::METHOD_NOT_FOUND, format!("no method {method}"));
                jsonrpc::response(Some(&id), Err(error))
            }
        },
    };
    answer(conn, 200, &json, said.as_bytes())?;
    Ok(true)
}

fn call(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    head: &http::Request,
    id: &Id,
    params: serde_json::Map<String, Value>,
) -> Result<bool, NetError> {
    let json = [("content-type", "application/json")];
    let rid = head.headers.get("x-request-id").unwrap_or("?").to_owned();
    let call = match mcp::call(params) {
        Ok(call) => call,
        Err(error) => {
            answer(conn, 200, &json, jsonrpc::response(Some(id), Err(error)).as_bytes())?;
            return Ok(true);
        }
    };
    let Some((_, effect)) = TOOLS.into_iter().find(|(name, _)| *name == call.name) else {
        let error = RpcError::new(jsonrpc::INVALID_PARAMS, format!("no tool {}", call.name));
        answer(conn, 200, &json, jsonrpc::response(Some(id), Err(error)).as_bytes())?;
        return Ok(true);
    };
    let see = |what| shared.log.see(&shared.name, what);
    let answered = |how: &str| see(Seen::ToolAnswered { rid: rid.clone(), how: how.into() });
    see(Seen::ToolReceived { rid: rid.clone(), tool: call.name.clone(), effect });
    let fault = lock(&shared.fault).clone();
    match fault {
        ToolFault::Hang => {
            while conn.is_idle() {
                sleep(LOOK);
            }
            answered("hung");
            return Ok(false);
        }
        ToolFault::Error => {
            let error = RpcError::new(jsonrpc::INTERNAL_ERROR, "out of order");
            answered("error");
            answer(conn, 200, &json, jsonrpc::response(Some(id), Err(error)).as_bytes())?;
            return Ok(true);
        }
        _ => {}
    }
    see(Seen::ToolRan { rid: rid.clone(), tool: call.name.clone(), effect });
    let text = if effect {
        format!("order {} placed", shared.orders.fetch_add(1, Ordering::SeqCst) + 1)
    } else {
        "12 in stock".to_owned()
    };
    match fault {
        ToolFault::Slow(time) => sleep(time),
        ToolFault::Garbled => {
            answered("garbled");
            answer(conn, 200, &json, b"{\"jsonrpc\": \"2.0\", \"id\": ")?;
            return Ok(true);
        }
        ToolFault::Lost => {
            answered("lost");
            return Ok(false);
        }
        _ => {}
    }
    let said = jsonrpc::response(Some(id), Ok(mcp::text_result(&text, false)));
    let sent = if shared.sse {
        let mut event = Vec::new();
        sse::write(Some("message"), &said, &mut event);
        let mut out = Vec::new();
        http::write_stream_head(200, &[("content-type", "text/event-stream")], &mut out);
        http::write_chunk(&event, &mut out);
        out.extend_from_slice(http::LAST_CHUNK);
        conn.write(&out)
    } else {
        answer(conn, 200, &json, said.as_bytes())
    };
    answered(if sent.is_ok() { "answered" } else { "left" });
    sent.map(|()| true)
}
