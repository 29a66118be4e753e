//! Compares the throughput of a front that writes its counts to a file for an agent with that of a front without both.
//! The two are measured alternately, in rounds of one run. Prints the ratio of the first to the second.
//!
//! `cargo run --release -p elderstage-cli --example front-with-agent -- PROGRAM CONFIG_OF_AGENT TALLY_FILE [ROUNDS]`

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use elderstage_standin::platform::Platform;
use serde_json::json;

/// Clients that send requests without a pause.
const CLIENTS: usize = 8;
/// Duration of one measurement of one front.
const MEASUREMENT_TIME: Duration = Duration::from_secs(4);

/// A process that is killed when this is dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends one request, and returns whether it was answered with status 200.
fn send_request(addr: SocketAddr, trace: &str) -> bool {
    let body = "{\"model\":\"chat\",\"stream\":true,\"messages\":[]}";
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {trace}\r\nX-Qos: plain\r\n\
         X-Object: talk-{trace}\r\nX-Expires-In-Ms: 8000\r\nX-Props: prompt_len=400,prefix_len=0,max_out=64\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let Ok(mut stream) = TcpStream::connect(addr) else { return false };
    let mut response = Vec::new();
    stream.write_all(text.as_bytes()).is_ok()
        && stream.read_to_end(&mut response).is_ok()
        && response.starts_with(b"HTTP/1.1 200")
}

/// Starts a front node with the configuration of `platform`, and waits until it serves requests. With `tally`, it
/// writes its counts to this file.
fn start_front(
    program: &str,
    platform: &Platform,
    tally: Option<&str>,
) -> Result<(KillOnDrop, SocketAddr), std::io::Error> {
    let addr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let mut config = platform.config(addr, platform.discovery.addr, true);
    if let Some(file) = tally {
        config["tally"] = json!({"file": file, "release": "measured"});
    }
    let path = std::env::temp_dir().join(format!("elderstage-measured-{}.json", addr.port()));
    std::fs::write(&path, config.to_string())?;
    let mut command = Command::new(program);
    command.args(["--log-level", "warn", "node"]).env("PROXY_CONFIG", &path).stdin(Stdio::null());
    let child = KillOnDrop(command.spawn()?);
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline && !send_request(addr, "served-ready") {
        std::thread::sleep(Duration::from_millis(50));
    }
    let _ = std::fs::remove_file(Path::new(&path));
    Ok((child, addr))
}

/// Number of requests that a front serves during one measurement.
fn measure(addr: SocketAddr) -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (end, served) = (Instant::now() + MEASUREMENT_TIME, AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while Instant::now() < end {
                    let n = NEXT.fetch_add(1, Ordering::SeqCst);
                    served.fetch_add(u64::from(send_request(addr, &format!("served-{n}"))), Ordering::SeqCst);
                }
            });
        }
    });
    served.into_inner()
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [program, config, tally, rest @ ..] = &args[..] else {
        return Err("expected arguments: PROGRAM CONFIG_OF_AGENT TALLY_FILE [ROUNDS]".into());
    };
    let rounds: usize = rest.first().map_or(Ok(5), |text| text.parse())?;
    let platform = Platform::start(3, 5)?;
    let (_front_without, addr_without) = start_front(program, &platform, None)?;
    let (_front_with, addr_with) = start_front(program, &platform, Some(tally))?;
    let agent =
        Command::new(program).args(["--log-level", "warn", "fleet", "run", "--config", config]).spawn()?;
    let _agent = KillOnDrop(agent);
    let mut ratios = Vec::new();
    for round in 0..rounds {
        let (without, with) = (measure(addr_without), measure(addr_with));
        println!("round {round}: {without} served without, {with} with");
        ratios.push(with as f64 / without.max(1) as f64);
    }
    ratios.sort_by(f64::total_cmp);
    println!(
        "with over without: median {:.3}, {:.3} to {:.3}",
        ratios[rounds / 2],
        ratios[0],
        ratios[rounds - 1]
    );
    Ok(())
}
