//! What a front serves with its counts written and an agent beside it, over the same without, in one run and in turns.
//! `cargo run --release -p elderstage-cli --example front-with-agent -- PROGRAM CONFIG_OF_AGENT TALLY_FILE [ROUNDS]`

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use elderstage_standin::platform::Platform;
use serde_json::json;

/// Clients that ask without a pause, and how long a turn takes.
const CLIENTS: usize = 8;
const TURN: Duration = Duration::from_secs(4);

struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn ask(at: SocketAddr, trace: &str) -> bool {
    let body = "{\"model\":\"chat\",\"stream\":true,\"messages\":[]}";
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {trace}\r\nX-Qos: plain\r\n\
         X-Object: talk-{trace}\r\nX-Expires-In-Ms: 8000\r\nX-Props: prompt_len=400,prefix_len=0,max_out=64\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let Ok(mut stream) = TcpStream::connect(at) else { return false };
    let mut answer = Vec::new();
    stream.write_all(text.as_bytes()).is_ok()
        && stream.read_to_end(&mut answer).is_ok()
        && answer.starts_with(b"HTTP/1.1 200")
}

fn front(
    program: &str,
    platform: &Platform,
    tally: Option<&str>,
) -> Result<(Ended, SocketAddr), std::io::Error> {
    let addr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let mut config = platform.config(addr, platform.discovery.addr, true);
    if let Some(file) = tally {
        config["tally"] = json!({"file": file, "release": "measured"});
    }
    let path = std::env::temp_dir().join(format!("elderstage-measured-{}.json", addr.port()));
    std::fs::write(&path, config.to_string())?;
    let mut command = Command::new(program);
    command.args(["--log-level", "warn", "node"]).env("PROXY_CONFIG", &path).stdin(Stdio::null());
    let child = Ended(command.spawn()?);
    let ready = Instant::now() + Duration::from_secs(20);
    while Instant::now() < ready && !ask(addr, "served-ready") {
        std::thread::sleep(Duration::from_millis(50));
    }
    let _ = std::fs::remove_file(Path::new(&path));
    Ok((child, addr))
}

/// Requests served in one turn.
fn turn(at: SocketAddr) -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let (end, served) = (Instant::now() + TURN, AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while Instant::now() < end {
                    let n = NEXT.fetch_add(1, Ordering::SeqCst);
                    served.fetch_add(u64::from(ask(at, &format!("served-{n}"))), Ordering::SeqCst);
                }
            });
        }
    });
    served.into_inner()
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [program, config, tally, rest @ ..] = &args[..] else {
        return Err("PROGRAM CONFIG TALLY are wanted".into());
    };
    let rounds: usize = rest.first().map_or(Ok(5), |text| text.parse())?;
    let platform = Platform::start(3, 5)?;
    let (_plain, without) = front(program, &platform, None)?;
    let (_counted, with) = front(program, &platform, Some(tally))?;
    let agent =
        Command::new(program).args(["--log-level", "warn", "fleet", "run", "--config", config]).spawn()?;
    let _agent = Ended(agent);
    let mut ratios = Vec::new();
    for round in 0..rounds {
        let (one, other) = (turn(without), turn(with));
        println!("round {round}: {one} served without, {other} with");
        ratios.push(other as f64 / one.max(1) as f64);
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
