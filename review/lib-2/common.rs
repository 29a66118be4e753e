//! Stand-ins for the cases 6 to 10: engines, discovery and clients as `kit/more/node/PROTOCOL.md` describes
//! them, and the start of a front node with the command of the deploy file. Only the standard library is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}
/// `PR_SET_PDEATHSIG`.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

/// The calling process gets SIGKILL when its parent ends, so that nothing is left of a case that is ended from outside.
fn end_with_parent() {
    unsafe { prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL as u64) };
}

/// Makes a program that is about to be started end with this case.
pub fn ends_with_case(command: &mut Command) -> &mut Command {
    use std::os::unix::process::CommandExt;
    unsafe {
        command.pre_exec(|| {
            end_with_parent();
            Ok(())
        })
    }
}
/// Processes and folders of this case that are still there.
static STARTED: Mutex<Vec<(i32, PathBuf)>> = Mutex::new(Vec::new());

pub fn register(pid: u32, folder: &std::path::Path) {
    STARTED.lock().unwrap_or_else(|broken| broken.into_inner()).push((pid as i32, folder.to_owned()));
}

/// To be called when a process was waited for: its number may belong to another one from then on.
pub fn unregister(pid: u32) {
    STARTED.lock().unwrap_or_else(|broken| broken.into_inner()).retain(|(known, _)| *known != pid as i32);
}

/// Ends all processes that the case has started, and the case itself.
pub fn exit(code: i32) -> ! {
    for (pid, folder) in STARTED.lock().unwrap_or_else(|broken| broken.into_inner()).drain(..) {
        send_signal(pid, SIGKILL);
        if let Ok(keep) = std::env::var("KEEP_LOG") {
            let _ = std::fs::copy(folder.join("log"), keep);
        }
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// The case could not run: exit code 2.
pub fn could_not_run(rec: &Rec, why: &str) -> ! {
    rec.finish(&format!("could not run: {why}"));
    exit(2)
}

/// Ends the case with 2 when it panics or takes longer than 100 s.
pub fn guard() {
    end_with_parent();
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        usual(info);
        // A thread of a stand-in that fails does not end the case; the main thread does.
        if thread::current().name() == Some("main") {
            exit(2);
        }
    }));
    thread::spawn(|| {
        thread::sleep(ms(100_000));
        println!("could not run: not done after 100 s");
        exit(2);
    });
}

/// Sends a signal to a process that the case has started.
pub fn send_signal(pid: i32, signal: i32) {
    unsafe { kill(pid, signal) };
}
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption of the case is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of the case: one line for each thing that was sent, answered or run.
pub struct Rec {
    t0: Instant,
    lines: Mutex<Vec<String>>,
}

impl Rec {
    pub fn new() -> Arc<Rec> {
        Arc::new(Rec { t0: Instant::now(), lines: Mutex::new(Vec::new()) })
    }
    /// Milliseconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.t0.elapsed().as_secs_f64() * 1000.0
    }
    pub fn log(&self, line: impl AsRef<str>) {
        let line = format!("{:10.1} {}", self.now(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }
    /// Writes the record to the file that the environment names, and prints the verdict.
    pub fn finish(&self, verdict: &str) {
        self.log(verdict);
        println!("{verdict}");
        if let Ok(path) = std::env::var("RECORD") {
            let mut text = self.lines.lock().unwrap().join("\n");
            text.push('\n');
            if let Err(error) = std::fs::write(&path, text) {
                eprintln!("cannot write {path}: {error}");
            }
        }
    }
}

/// A request as it was read from a socket.
#[derive(Clone, Debug)]
pub struct Req {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
    pub fn trace(&self) -> String {
        self.header("x-trace-id").unwrap_or_default().to_owned()
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(from: &mut BufReader<TcpStream>) -> io::Result<Option<Req>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let mut req = Req { method, target, headers, body: Vec::new() };
    let length = req.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0usize);
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    req.body = body;
    Ok(Some(req))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Read,
    Write,
    Both,
}

/// What an engine does with one attempt.
#[derive(Clone, Debug)]
pub enum Behave {
    /// Reads (a reader) or streams this many events with this gap (a writer), after a first time.
    Normal { first_ms: u64, events: u64, gap_ms: u64 },
    /// 500: it may have run. `ran`: it did.
    Error { after_ms: u64, ran: bool },
    /// Runs, and then resets or ends the connection without an answer.
    RunAndBreak { after_ms: u64 },
    /// 503 with `X-Never-Ran: 1`.
    TurnAway,
    /// Takes the request and says nothing until the front node closes the connection. `ran`: it runs at once.
    Silent { ran: bool },
}

/// State that a reader holds for a request.
#[derive(Clone, Debug)]
pub struct Held {
    pub reader: String,
    pub since: Instant,
}

pub type Hook = Box<dyn Fn(&str, Role, &Req) -> Behave + Send + Sync>;

/// What happened at the engines.
pub struct World {
    pub rec: Arc<Rec>,
    pub held: Mutex<HashMap<String, Held>>,
    /// For each id: engines and times at which the request ran with effect (not reads).
    pub runs: Mutex<BTreeMap<String, Vec<(String, Instant)>>>,
    /// All attempts: id, engine, time of the last byte.
    pub attempts: Mutex<Vec<(String, String, Instant)>>,
    pub released: Mutex<Vec<(String, Instant)>>,
    /// Attempts that are out on an open connection: id to their number.
    pub out: Mutex<HashMap<String, usize>>,
    /// Ids of which a second copy was out, with the engine that got it.
    pub second: Mutex<Vec<(String, String)>>,
    /// Ids whose stream an engine has written to its last chunk.
    pub ended: Mutex<Vec<String>>,
    pub hook: Hook,
    /// What a writer sends behind `data: [DONE]` and its empty line, as a chunk of its own.
    pub stream_end: Mutex<String>,
    /// Whether writers read a prompt themselves when there is no state.
    pub self_prefill: bool,
}

impl World {
    pub fn new(rec: &Arc<Rec>, self_prefill: bool, hook: Hook) -> Arc<World> {
        Arc::new(World {
            rec: rec.clone(),
            held: Mutex::default(),
            runs: Mutex::default(),
            attempts: Mutex::default(),
            released: Mutex::default(),
            out: Mutex::default(),
            second: Mutex::default(),
            ended: Mutex::default(),
            hook,
            stream_end: Mutex::default(),
            self_prefill,
        })
    }
    pub fn runs_of(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).map_or(0, Vec::len)
    }
}

/// An engine with one thread for each connection.
pub struct Engine {
    pub name: String,
    pub addr: SocketAddr,
}

pub fn start_engine(world: &Arc<World>, name: &str, role: Role) -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (world, engine) = (world.clone(), name.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, engine) = (world.clone(), engine.clone());
            thread::spawn(move || {
                let _ = serve_engine(&world, &engine, role, stream);
            });
        }
    });
    Engine { name: name.to_owned(), addr }
}

fn run(world: &World, id: &str, engine: &str) {
    world.runs.lock().unwrap().entry(id.to_owned()).or_default().push((engine.to_owned(), Instant::now()));
    world.rec.log(format!("engine {engine} runs {id}"));
}

fn hold(world: &World, id: &str, engine: &str) {
    let held = Held { reader: engine.to_owned(), since: Instant::now() };
    world.held.lock().unwrap().insert(id.to_owned(), held);
    world.rec.log(format!("engine {engine} read {id}, holds its state"));
}

fn serve_engine(world: &World, engine: &str, role: Role, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    while let Some(req) = read_request(&mut from)? {
        if let Some(id) = req.target.strip_prefix("/kv/leases/") {
            let was = world.held.lock().unwrap().remove(id);
            world.released.lock().unwrap().push((id.to_owned(), Instant::now()));
            world.rec.log(format!("engine {engine} DELETE {id} held={}", was.is_some()));
            out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
            continue;
        }
        if req.method == "GET" {
            out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nTEXT lat_ms=10, x0=0.1, x1=0.1")?;
            continue;
        }
        let id = req.trace();
        world.attempts.lock().unwrap().push((id.clone(), engine.to_owned(), Instant::now()));
        world.rec.log(format!(
            "engine {engine} got {id} bytes={} expires={}",
            req.body.len(),
            req.header("x-expires-in-ms").unwrap_or("-")
        ));
        let _out = Out::begin(world, &id, engine);
        match (world.hook)(engine, role, &req) {
            Behave::Silent { ran } => {
                if ran {
                    run(world, &id, engine);
                }
                // The end of the connection, or bytes that nobody may send now.
                let _ = from.fill_buf();
                return Ok(());
            }
            Behave::TurnAway => {
                out.write_all(b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")?;
                world.rec.log(format!("engine {engine} turned away {id}"));
            }
            Behave::Error { after_ms, ran } => {
                thread::sleep(ms(after_ms));
                if ran {
                    run(world, &id, engine);
                }
                out.write_all(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")?;
                world.rec.log(format!("engine {engine} answered 500 to {id}"));
            }
            Behave::RunAndBreak { after_ms } => {
                thread::sleep(ms(after_ms));
                if role == Role::Read {
                    hold(world, &id, engine);
                } else {
                    run(world, &id, engine);
                }
                out.shutdown(Shutdown::Both)?;
                return Ok(());
            }
            Behave::Normal { first_ms, .. } if role == Role::Read => {
                if closed_within(&out, first_ms) {
                    world.rec.log(format!("engine {engine}: the read of {id} was given up"));
                    return Ok(());
                }
                hold(world, &id, engine);
                let body = "{\"cached_tokens\":0}";
                out.write_all(
                    format!("HTTP/1.1 202 Accepted\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes(),
                )?;
            }
            Behave::Normal { first_ms, events, gap_ms } => {
                let state = world.held.lock().unwrap().remove(&id);
                if state.is_none() && role == Role::Write && !world.self_prefill {
                    out.write_all(b"HTTP/1.1 410 Gone\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")?;
                    world.rec.log(format!("engine {engine} found no state for {id}"));
                    continue;
                }
                run(world, &id, engine);
                if closed_within(&out, first_ms) {
                    world.rec.log(format!("engine {engine}: {id} was given up"));
                    return Ok(());
                }
                out.write_all(
                    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                )?;
                for n in 0..events {
                    let event = format!(
                        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{id}.{n}\"}},\"finish_reason\":null}}]}}\n\n"
                    );
                    chunk(&mut out, &event)?;
                    thread::sleep(ms(gap_ms));
                }
                chunk(&mut out, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":10,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n")?;
                let end = world.stream_end.lock().unwrap().clone();
                if !end.is_empty() {
                    chunk(&mut out, &end)?;
                }
                out.write_all(b"0\r\n\r\n")?;
                world.ended.lock().unwrap().push(id.clone());
                world.rec.log(format!("engine {engine} ended the stream of {id}"));
            }
        }
    }
    Ok(())
}

/// Counts an attempt as out until it is dropped.
struct Out<'a>(&'a World, String);

impl Out<'_> {
    fn begin<'a>(world: &'a World, id: &str, engine: &str) -> Out<'a> {
        let mut out = world.out.lock().unwrap();
        let number = out.entry(id.to_owned()).or_default();
        *number += 1;
        if *number > 1 {
            world.second.lock().unwrap().push((id.to_owned(), engine.to_owned()));
            world.rec.log(format!("engine {engine} got a second copy of {id}"));
        }
        Out(world, id.to_owned())
    }
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        let mut out = self.0.out.lock().unwrap();
        if let Some(number) = out.get_mut(&self.1) {
            *number -= 1;
            if *number == 0 {
                out.remove(&self.1);
            }
        }
    }
}

/// Waits for this time; `true`: the peer has closed the connection meanwhile.
pub fn closed_within(stream: &TcpStream, time_ms: u64) -> bool {
    let until = Instant::now() + ms(time_ms);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        stream.set_read_timeout(Some(left)).unwrap();
        let peeked = stream.peek(&mut [0]);
        stream.set_read_timeout(None).unwrap();
        match peeked {
            Ok(0) => return true,
            // Bytes of a next request: nobody sends them while this one is out.
            Ok(_) => thread::sleep(left),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(_) => return true,
        }
    }
}

fn chunk(out: &mut TcpStream, text: &str) -> io::Result<()> {
    out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// One entry of a list.
pub fn host(name: &str, addr: SocketAddr, kind: &str, health: &str) -> String {
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{addr}\",\"site\":\"here\",\"class\":\"{kind}\",\"block\":0,\"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}"
    )
}

pub fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}", hosts.join(","))
}

/// Discovery: answers a watch with the whole list, and with an empty line every 2 s.
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<(Mutex<(u64, Vec<String>)>, Condvar)>,
    /// Time for which the first list of a watch is on its way, in pieces, in milliseconds. The head comes at once.
    pub list_ms: Arc<AtomicU64>,
    /// When a whole list was written to the front node, in microseconds of the record; 0 for never.
    pub told: Arc<Mutex<Vec<(u64, Instant)>>>,
}

pub fn start_discovery(rec: &Arc<Rec>, seq: u64, hosts: Vec<String>, list_ms: u64) -> Discovery {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let state = Arc::new((Mutex::new((seq, hosts)), Condvar::new()));
    let list_ms = Arc::new(AtomicU64::new(list_ms));
    let told = Arc::new(Mutex::new(Vec::new()));
    let discovery = Discovery { addr, state: state.clone(), list_ms: list_ms.clone(), told: told.clone() };
    let rec = rec.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (state, list_ms, told, rec) = (state.clone(), list_ms.clone(), told.clone(), rec.clone());
            thread::spawn(move || {
                let _ = serve_watch(&rec, &state, &list_ms, &told, stream);
            });
        }
    });
    discovery
}

fn serve_watch(
    rec: &Rec,
    state: &(Mutex<(u64, Vec<String>)>, Condvar),
    list_ms: &AtomicU64,
    told: &Mutex<Vec<(u64, Instant)>>,
    stream: TcpStream,
) -> io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    let Some(req) = read_request(&mut from)? else { return Ok(()) };
    rec.log(format!("discovery got {}", req.target));
    let mut seen;
    let text;
    {
        let now = state.0.lock().unwrap();
        seen = now.0;
        text = list(now.0, true, &now.1);
    }
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    out.write_all(head.as_bytes())?;
    let written = chunk_in_pieces(&mut out, &format!("{text}\n"), list_ms.load(Ordering::SeqCst));
    rec.log(format!("discovery wrote list {seen}: {}", if written.is_ok() { "ok" } else { "the watch was closed" }));
    written?;
    told.lock().unwrap().push((seen, Instant::now()));
    loop {
        let now = state.0.lock().unwrap();
        let (now, _) = state.1.wait_timeout_while(now, ms(2000), |now| now.0 == seen).unwrap();
        let text = if now.0 == seen { "\n".to_owned() } else { format!("{}\n", list(now.0, true, &now.1)) };
        let changed = now.0 != seen;
        seen = now.0;
        drop(now);
        chunk(&mut out, &text)?;
        if changed {
            rec.log(format!("discovery wrote list {seen}"));
            told.lock().unwrap().push((seen, Instant::now()));
        }
    }
}

/// Writes a text as chunks, in twelve pieces over this time; at once if it is 0.
fn chunk_in_pieces(out: &mut TcpStream, text: &str, time_ms: u64) -> io::Result<()> {
    if time_ms == 0 {
        return chunk(out, text);
    }
    let pieces = 12;
    let size = text.len().div_ceil(pieces);
    for (n, piece) in text.as_bytes().chunks(size).enumerate() {
        if n > 0 {
            thread::sleep(ms(time_ms / (pieces as u64 - 1)));
        }
        chunk(out, std::str::from_utf8(piece).unwrap())?;
    }
    Ok(())
}

impl Discovery {
    pub fn set(&self, seq: u64, hosts: Vec<String>) {
        *self.state.0.lock().unwrap() = (seq, hosts);
        self.state.1.notify_all();
    }
}

/// Settings of a small deployment. The parts that cases change are arguments.
pub struct Settings {
    pub kinds: Vec<(&'static str, &'static str)>,
    /// Name, semantics, aim and give-up in microseconds, group, memory span in microseconds.
    pub classes: Vec<(&'static str, &'static str, u64, u64, &'static str, u64)>,
    pub memory_mb: u64,
    pub sockets: u64,
    pub self_prefill: bool,
    pub resume: bool,
    pub probes: bool,
    /// `probe` or `answers`.
    pub reports: &'static str,
    /// Names of the values of a report.
    pub fields: Vec<&'static str>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            kinds: vec![("reads", "read"), ("writes", "write")],
            classes: vec![
                ("consulta", "pure", 1_200_000, 6_000_000, "all", 5_000_000),
                ("encargo", "side_effect", 2_500_000, 12_000_000, "all", 5_000_000),
            ],
            memory_mb: 64,
            sockets: 512,
            self_prefill: true,
            resume: false,
            probes: true,
            reports: "probe",
            fields: vec!["lat_ms", "x0", "x1"],
        }
    }
}

impl Settings {
    pub fn json(&self) -> String {
        let quoted = |items: Vec<String>| items.iter().map(|item| format!("\"{item}\"")).collect::<Vec<_>>().join(",");
        let kinds = quoted(self.kinds.iter().map(|kind| kind.0.to_owned()).collect());
        let roles = quoted(self.kinds.iter().map(|kind| kind.1.to_owned()).collect());
        let tokens = self.kinds.iter().map(|_| "160000").collect::<Vec<_>>().join(",");
        let services = self
            .classes
            .iter()
            .map(|(name, semantics, aim, give_up, group, memory)| {
                format!(
                    "{{\"name\":\"{name}\",\"semantics\":\"{semantics}\",\"aim-us\":{aim},\"give-up-us\":{give_up},\"group\":\"{group}\",\"memory-span-us\":{memory},\"late-value\":0.1,\"worth\":1.0,\"streamed\":true}}"
                )
            })
            .collect::<Vec<_>>()
            .join(",");
        let per_class = |value: &str| self.classes.iter().map(|_| value.to_owned()).collect::<Vec<_>>().join(",");
        format!(
            "{{\"me\":0,\"zone\":0,\"n-instances\":1,\"tick-us\":2000,\"discovery\":\"automatic\",\"zones\":[\"here\"],\"skus\":[{kinds}],\"orgs\":[],\"services\":[{services}],\
            \"domain\":{{\"kind-role\":[{roles}],\"tokens-by-kind\":[{tokens}],\"self-prefill\":{},\"resume\":{},\"holds-allowed\":false,\"let-go-by-us\":300000,\"token-aim-us\":[{}],\"aim-us-per-1000-prompt-tokens\":[{}]}},\
            \"report\":{{\"how\":\"{}\",\"fields\":[{}]}},\
            \"limits\":{{\"cancel\":true,\"probes\":{},\"retry-after\":true,\"may-duplicate\":false,\"most-tries\":4,\"connect-timeout-us\":250000,\"max-retry-after-us\":500000,\"idle-close-us\":15000000}},\
            \"obligations\":{{\"answer-slack-us\":8000,\"ask-within-us\":10000000,\"drain-grace-us\":2000000,\"cold-from\":0.28,\"cold-us\":12000000,\"fall-multiple\":4.0,\"tip-after-us\":2000000}}}}",
            self.self_prefill,
            self.resume,
            per_class("60000"),
            per_class("40000"),
            self.reports,
            quoted(self.fields.iter().map(|field| field.to_string()).collect()),
            self.probes,
        )
    }
}

/// The file of a node's configuration.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str, settings: &Settings) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{known},\"settings\":{}}}",
        settings.memory_mb,
        settings.sockets,
        settings.json()
    )
}

pub fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The command of the deploy file, `run`.
pub fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("run from the root of the repository");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("a run line");
    line.trim_start_matches("run = ").trim().trim_matches('"').to_owned()
}

/// A front node, started by the command of the deploy file.
pub struct Node {
    pub child: Child,
    pub addr: SocketAddr,
    pub folder: PathBuf,
}

impl Node {
    pub fn start(rec: &Rec, addr: SocketAddr, config: &str) -> Node {
        let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let folder = std::env::temp_dir().join(format!("elderstage-review-{}-{stamp}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("config.json"), config).unwrap();
        let log = std::fs::File::create(folder.join("log")).unwrap();
        let mut command = run_command();
        if let Ok(level) = std::env::var("NODE_LOG") {
            command = command.replace("info,may=warn", &level);
        }
        let child = ends_with_case(&mut Command::new("/bin/sh"))
            .args(["-c", &command])
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", addr.to_string())
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        register(child.id(), &folder);
        rec.log("node started");
        Node { child, addr, folder }
    }
    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.pid(), signal) };
    }
    /// Waits until `GET /-/ready` answers 200.
    pub fn wait_ready(&self, rec: &Rec) -> bool {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.addr) {
                let sent = client.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                if sent.is_ok() && client.answer(ms(1000)).status == 200 {
                    rec.log("node is ready");
                    return true;
                }
            }
            thread::sleep(ms(20));
        }
        false
    }
    /// A number of `/proc/PID/status` in kB.
    pub fn status_kb(&self, name: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(name)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).map_or(0, |dir| dir.count())
    }
    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        unregister(self.child.id());
        if let Ok(keep) = std::env::var("KEEP_LOG") {
            let _ = std::fs::copy(self.folder.join("log"), keep);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A chat request as a client sends it. `bytes` is the least size of its body.
pub fn chat(id: &str, class: &str, expires_ms: u64, bytes: usize) -> Vec<u8> {
    chat_with(id, class, expires_ms, bytes, "")
}

/// The same with further header lines, each with its line end.
pub fn chat_with(id: &str, class: &str, expires_ms: u64, bytes: usize, headers: &str) -> Vec<u8> {
    let mut content = String::with_capacity(bytes);
    while content.len() < bytes {
        content.push_str("oqvh ");
    }
    let body = format!(
        "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":100,\"messages\":[{{\"role\":\"user\",\"content\":\"{content}\"}}]}}"
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Object: o{id}\r\nX-Expires-In-Ms: {expires_ms}\r\nX-Props: prompt_len={},max_out=100\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len() / 4,
        body.len()
    )
    .into_bytes()
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0: no head came.
    pub status: u16,
    pub body: String,
    /// The body came to its end (last chunk or length).
    pub complete: bool,
    /// The connection ended or was reset (`true`), or the time was up.
    pub closed: bool,
    pub close: bool,
}

pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&addr, ms(2000))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, buffer: Vec::new() })
    }
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
    /// `Some(false)`: nothing in time; `None`: the connection has ended.
    fn fill(&mut self, until: Instant) -> Option<bool> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Some(false);
        }
        self.stream.set_read_timeout(Some(left)).unwrap();
        let mut piece = [0; 16384];
        match self.stream.read(&mut piece) {
            Ok(0) => None,
            Ok(n) => {
                self.buffer.extend_from_slice(&piece[..n]);
                Some(true)
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Some(false),
            Err(_) => None,
        }
    }
    /// Reads one answer, for this time at most.
    pub fn answer(&mut self, time: Duration) -> Answer {
        let until = Instant::now() + time;
        let mut answer = Answer::default();
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            match self.fill(until) {
                Some(true) => {}
                Some(false) => return answer,
                None => {
                    answer.closed = true;
                    return answer;
                }
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).to_ascii_lowercase();
        self.buffer.drain(..head_end);
        answer.status = head.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        answer.close = head.contains("connection: close");
        let length = head.lines().find_map(|line| line.strip_prefix("content-length:")).map(|n| n.trim().parse::<usize>().unwrap_or(0));
        let is_chunked = head.contains("transfer-encoding: chunked");
        loop {
            if let Some(length) = length.filter(|length| self.buffer.len() >= *length) {
                answer.body = String::from_utf8_lossy(&self.buffer[..length]).into_owned();
                self.buffer.drain(..length);
                answer.complete = true;
                return answer;
            }
            if is_chunked {
                while let Some(line_end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                    let size = usize::from_str_radix(&String::from_utf8_lossy(&self.buffer[..line_end]), 16).unwrap_or(0);
                    if self.buffer.len() < line_end + 2 + size + 2 {
                        break;
                    }
                    let data = self.buffer[line_end + 2..line_end + 2 + size].to_vec();
                    self.buffer.drain(..line_end + 2 + size + 2);
                    if size == 0 {
                        answer.complete = true;
                        return answer;
                    }
                    answer.body.push_str(&String::from_utf8_lossy(&data));
                }
            }
            match self.fill(until) {
                Some(true) => {}
                Some(false) => return answer,
                None => {
                    answer.closed = true;
                    return answer;
                }
            }
        }
    }
}

/// Sends one request on a new connection and reads its answer.
pub fn ask(rec: &Rec, addr: SocketAddr, id: &str, class: &str, expires_ms: u64, bytes: usize) -> Answer {
    ask_with(rec, addr, id, class, expires_ms, bytes, "")
}

/// The same with further header lines.
pub fn ask_with(
    rec: &Rec,
    addr: SocketAddr,
    id: &str,
    class: &str,
    expires_ms: u64,
    bytes: usize,
    headers: &str,
) -> Answer {
    rec.log(format!("client sends {id} class={class} expires={expires_ms} {}", headers.trim_end()));
    let answer = match Client::connect(addr) {
        Ok(mut client) => match client.send(&chat_with(id, class, expires_ms, bytes, headers)) {
            Ok(()) => client.answer(ms(expires_ms + 10_000)),
            Err(_) => Answer { closed: true, ..Answer::default() },
        },
        Err(_) => Answer { closed: true, ..Answer::default() },
    };
    rec.log(format!(
        "client got {id}: status={} complete={} closed={}",
        answer.status, answer.complete, answer.closed
    ));
    answer
}
