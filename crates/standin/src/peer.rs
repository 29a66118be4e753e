//! A scripted peer: answers each connection's first request with given bytes, for testing what a front makes of
//! malformed answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use elderstage_net::{Conn, Listener, Stop, go, sleep};

use crate::host::lock;

/// What the peer does once it has read a request.
#[derive(Clone, Debug)]
pub struct Script {
    pub bytes: Vec<u8>,
    /// Closes the connection after the bytes; otherwise it stays open without a word.
    pub close: bool,
}

pub struct Peer {
    addr: SocketAddr,
    stop: Stop,
    script: Arc<Mutex<Script>>,
}

impl Peer {
    pub fn start(listen: SocketAddr, script: Script) -> std::io::Result<Peer> {
        let listener = Listener::bind(listen)?;
        let (addr, stop) = (listener.addr(), listener.stopper());
        let script = Arc::new(Mutex::new(script));
        let shared = script.clone();
        go(move || {
            let each = move |mut conn: Conn| {
                let script = lock(&shared).clone();
                go(move || {
                    conn.set_read_timeout(Some(Duration::from_secs(20)));
                    let Ok(head) = conn.request() else { return };
                    let _ = conn.take_body(&head);
                    let _ = conn.body(head.framing);
                    let _ = conn.write(&script.bytes);
                    while !script.close && conn.is_idle() {
                        sleep(Duration::from_millis(20));
                    }
                    conn.socket().shut();
                });
            };
            listener.serve(each, |_| {});
        });
        Ok(Peer { addr, stop, script })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn script(&self, script: Script) {
        *lock(&self.script) = script;
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.stop.stop();
    }
}
