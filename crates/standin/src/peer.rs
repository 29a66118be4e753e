//! A scripted peer: responds to the first request of each connection with given bytes. Tests use it to check
//! how a front handles malformed responses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use elderstage_net::{Conn, Listener, ListenerHandle, sleep, spawn};

use crate::host::lock;

/// What the peer does once it has received a request.
#[derive(Clone, Debug)]
pub struct PeerScript {
    /// The bytes to send.
    pub bytes: Vec<u8>,
    /// Closes the connection after the bytes; otherwise it stays open and nothing more is sent.
    pub close: bool,
}

/// A running scripted peer; it stops listening when dropped.
pub struct ScriptedPeer {
    addr: SocketAddr,
    stop: ListenerHandle,
    script: Arc<Mutex<PeerScript>>,
}

impl ScriptedPeer {
    /// Starts a peer at this address.
    pub fn start(listen: SocketAddr, script: PeerScript) -> std::io::Result<ScriptedPeer> {
        let listener = Listener::bind(listen)?;
        let (addr, stop) = (listener.addr(), listener.handle());
        let script = Arc::new(Mutex::new(script));
        let current_script = script.clone();
        spawn(move || {
            let on_connection = move |mut conn: Conn| {
                let script = lock(&current_script).clone();
                spawn(move || {
                    conn.set_read_timeout(Some(Duration::from_secs(20)));
                    let Ok(head) = conn.receive_request() else { return };
                    let _ = conn.send_continue(&head);
                    let _ = conn.receive_body(head.framing);
                    let _ = conn.write(&script.bytes);
                    while !script.close && conn.is_idle() {
                        sleep(Duration::from_millis(20));
                    }
                    conn.socket().shutdown();
                });
            };
            listener.serve(on_connection, |_| {});
        });
        Ok(ScriptedPeer { addr, stop, script })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the script for new connections.
    pub fn script(&self, script: PeerScript) {
        *lock(&self.script) = script;
    }
}

impl Drop for ScriptedPeer {
    fn drop(&mut self) {
        self.stop.stop();
    }
}
