//! Proxies between each pair of processes, for frames both ways. Each direction can drop, delay, duplicate and reorder
//! frames.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    pub is_cut: bool,
    pub delay: Duration,
    /// Every nth frame is sent twice, or after the next one; 0 for none.
    pub duplicate_every: u64,
    pub swap_every: u64,
}

#[derive(Default)]
struct Inner {
    /// Current listen address of each process.
    addresses: HashMap<String, SocketAddr>,
    faults: HashMap<(String, String), LinkFaults>,
    frames: HashMap<(String, String), u64>,
}

/// All links of one fleet.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<Inner>>);

/// A larger frame ends the connection.
const MAX_FRAME_BYTES: usize = 32 << 20;

impl Links {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_address(&self, name: &str, address: SocketAddr) {
        self.inner().addresses.insert(name.into(), address);
    }

    pub fn set(&self, from: &str, to: &str, faults: LinkFaults) {
        self.inner().faults.insert((from.into(), to.into()), faults);
    }

    pub fn heal(&self) {
        self.inner().faults.clear();
    }

    fn next_frame(&self, from: &str, to: &str) -> (LinkFaults, u64) {
        let mut inner = self.inner();
        let key = (from.to_owned(), to.to_owned());
        let frame_number = inner.frames.entry(key.clone()).or_default();
        *frame_number += 1;
        let frame_number = *frame_number;
        (inner.faults.get(&key).copied().unwrap_or_default(), frame_number)
    }

    /// Opens a link from `from` to `to`; returns its address. It connects to the current listen address of `to`.
    pub fn open_link(&self, from: &str, to: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (links, from, to) = (self.clone(), from.to_owned(), to.to_owned());
        // Lives as long as the test process, so no other process can take its port.
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let address = links.inner().addresses.get(&to).copied();
                let Some(server) = address.and_then(|address| TcpStream::connect(address).ok()) else {
                    continue;
                };
                let (Ok(client_writer), Ok(server_reader)) = (client.try_clone(), server.try_clone()) else {
                    continue;
                };
                links.clone().forward_frames(client, server, from.clone(), to.clone());
                links.clone().forward_frames(server_reader, client_writer, to.clone(), from.clone());
            }
        });
        addr
    }

    fn forward_frames(self, mut client: TcpStream, mut server: TcpStream, from: String, to: String) {
        std::thread::spawn(move || {
            let mut is_first = true;
            let mut held_frame: Option<Vec<u8>> = None;
            while let Some(frame) = read_frame(&mut client) {
                let (faults, frame_number) = self.next_frame(&from, &to);
                std::thread::sleep(faults.delay);
                if faults.is_cut {
                    continue;
                }
                // The first frame is the hello: it is neither duplicated nor reordered.
                let outgoing = match held_frame.take() {
                    _ if is_first => vec![frame],
                    Some(before) => vec![frame, before],
                    None if faults.swap_every > 0 && frame_number % faults.swap_every == 0 => {
                        held_frame = Some(frame);
                        continue;
                    }
                    None if faults.duplicate_every > 0 && frame_number % faults.duplicate_every == 0 => {
                        vec![frame.clone(), frame]
                    }
                    None => vec![frame],
                };
                is_first = false;
                if outgoing.iter().any(|frame| server.write_all(frame).is_err()) {
                    break;
                }
            }
            let _ = server.shutdown(Shutdown::Both);
            let _ = client.shutdown(Shutdown::Both);
        });
    }
}

fn read_frame(from: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = [0; 4];
    from.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head) as usize;
    if length > MAX_FRAME_BYTES {
        return None;
    }
    let mut frame = head.to_vec();
    frame.resize(4 + length, 0);
    from.read_exact(&mut frame[4..]).ok()?;
    Some(frame)
}
