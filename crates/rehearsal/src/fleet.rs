//! A fleet of stand-ins on loopback, and the configuration that a front takes to use it.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

use elderstage_net::Place;
use elderstage_protocol::place::Family;
use elderstage_standin::host::{Control, DoorFault, Host, Options};
use elderstage_standin::model::{Role, Spec};
use elderstage_standin::tool::ToolServer;
use elderstage_standin::traffic::Log;

/// A kind of engine.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: String,
    pub spec: Spec,
}

/// One engine to start.
#[derive(Clone, Debug)]
pub struct Engine {
    pub name: String,
    pub kind: usize,
    pub zone: String,
    pub cell: u32,
    /// How it is reached, in the order of preference.
    pub ways: Vec<Family>,
}

/// What fronts are to know beside the servers.
#[derive(Clone, Debug)]
pub struct Site {
    pub zones: Vec<String>,
    pub kinds: Vec<Kind>,
    pub engines: Vec<Engine>,
    /// Further directives: classes, rules, routes; tools are added.
    pub rest: String,
    /// Tokens of state a second: inside a cell, a zone, and between zones.
    pub links: [f64; 3],
}

/// A running fleet.
pub struct Fleet {
    pub site: Site,
    pub hosts: BTreeMap<String, Host>,
    pub tools: ToolServer,
    /// What the list says of each server.
    pub listed: BTreeMap<String, &'static str>,
    /// Takes the Unix sockets.
    dir: PathBuf,
}

/// Ports are asked for, not fixed.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A folder of its own for a fleet's Unix sockets: short, since their paths are.
fn folder() -> std::io::Result<PathBuf> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("elderstage-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

/// Places beside the IPv4 address, which every engine has: other engines fetch states by it.
fn further(engine: &Engine, dir: &Path) -> std::io::Result<Vec<Place>> {
    let mut places = Vec::new();
    for way in &engine.ways {
        match way {
            Family::V4 => {}
            Family::V6 => places.push(Place::Tcp((std::net::Ipv6Addr::LOCALHOST, 0).into())),
            Family::Unix => places.push(Place::Unix(dir.join(format!("{}.sock", engine.name)))),
        }
    }
    Ok(places)
}

impl Fleet {
    pub fn start(site: Site, log: &Log) -> std::io::Result<Fleet> {
        let mut hosts = BTreeMap::new();
        let dir = folder()?;
        for engine in &site.engines {
            let options = Options {
                name: engine.name.clone(),
                spec: site.kinds[engine.kind].spec.clone(),
                listen: ANY_PORT,
                zone: engine.zone.clone(),
                cell: engine.cell,
                links: site.links,
                also: further(engine, &dir)?,
            };
            hosts.insert(engine.name.clone(), Host::start(options, false, log.clone())?);
        }
        let tools = ToolServer::start("tools", ANY_PORT, true, log.clone())?;
        let listed = hosts.keys().map(|name| (name.clone(), "running")).collect();
        Ok(Fleet { site, hosts, tools, listed, dir })
    }

    /// Number of the place by which an engine is reached so, for [`Control::Door`].
    pub fn door(&self, engine: &str, way: Family) -> Option<usize> {
        self.hosts.get(engine)?.places().iter().position(|place| place.family() == way)
    }

    /// Changes what is wrong with one way into an engine, or into all that have it.
    pub fn fault(&self, engine: Option<&str>, way: Family, fault: DoorFault) -> std::io::Result<()> {
        for (name, host) in &self.hosts {
            if engine.is_none_or(|engine| engine == name)
                && let Some(door) = self.door(name, way)
            {
                host.control(Control::Door(door, fault))?;
            }
        }
        Ok(())
    }

    fn addresses(&self, engine: &Engine) -> String {
        let places = self.hosts.get(&engine.name).map(Host::places).unwrap_or_default();
        let of = |way: &Family| places.iter().find(|place| place.family() == *way).map(ToString::to_string);
        engine.ways.iter().filter_map(of).collect::<Vec<_>>().join(" ")
    }

    /// The list of servers as a file.
    pub fn servers(&self, listed: &BTreeMap<String, &'static str>) -> String {
        let mut text = String::new();
        for engine in &self.site.engines {
            let Some(host) = self.hosts.get(&engine.name) else { continue };
            let state = listed.get(&engine.name).copied().unwrap_or("gone");
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "server {} {{\n    address {}\n    kind {}\n    zone {}\n    cell {}\n    state {state}\n    \
                 started {:.6}\n}}\n",
                engine.name,
                self.addresses(engine),
                self.site.kinds[engine.kind].name,
                engine.zone,
                engine.cell,
                host.started(),
            );
        }
        text
    }

    /// A front's configuration. `front` are the directives of its section.
    pub fn config(&self, front: &str, servers_file: &str) -> String {
        let mut text = format!("zones {}\n", self.site.zones.join(" "));
        let _ = writeln!(text, "front {{\n{front}\n}}");
        for kind in &self.site.kinds {
            let role = match kind.spec.role {
                Role::Prefill => "prefill",
                Role::Decode => "decode",
                Role::Mixed => "mixed",
            };
            let _ = writeln!(
                text,
                "kind {} {{\n    role {role}\n    kv-tokens {}\n}}",
                kind.name, kind.spec.kv_tokens
            );
        }
        for (name, effect) in [("stock", "none"), ("place_order", "lasting")] {
            let _ = writeln!(
                text,
                "tool {name} {{\n    url http://{}/mcp\n    effect {effect}\n    timeout 2s\n}}",
                self.tools.addr()
            );
        }
        let _ = writeln!(text, "{}\nservers {servers_file}", self.site.rest);
        text
    }

    pub fn stop(&self) {
        self.hosts.values().for_each(Host::stop);
        self.tools.kill();
        // It holds nothing but the sockets of this run.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Two classes and their routes: questions, which are safe to repeat, and orders, which must not run twice.
pub const CLASSES: &str = r#"
class ask {
    repeat safe
    first-token 1200ms
    first-token-per-1000 40ms
    token-gap 60ms
    give-up 6s
    total 30s
    worth 1
}
class order {
    repeat unsafe
    first-token 2500ms
    first-token-per-1000 40ms
    token-gap 80ms
    give-up 12s
    total 30s
    worth 5
}
route ask {
    class ask
    description "Answers a question; safe to repeat."
    tools stock
}
route order {
    class order
    description "Places an order by the tool place_order; never runs twice."
    tools stock place_order
}
"#;

/// The fleet of `elderstage demo`: one zone, two readers, two writers and a mixed engine.
pub fn demo() -> Site {
    let kind = |name: &str, spec| Kind { name: name.into(), spec };
    let engine = |name: &str, kind| Engine {
        name: name.into(),
        kind,
        zone: "a".into(),
        cell: 0,
        ways: vec![Family::V4],
    };
    Site {
        zones: vec!["a".into()],
        kinds: vec![
            kind("reader", Spec { role: Role::Prefill, slots: 8, ..Spec::default() }),
            kind("writer", Spec { role: Role::Decode, read_per_s: 7_000.0, slots: 96, ..Spec::default() }),
            kind("mixed", Spec { role: Role::Mixed, read_per_s: 10_000.0, ..Spec::default() }),
        ],
        engines: vec![engine("r1", 0), engine("r2", 0), engine("w1", 1), engine("w2", 1), engine("m1", 2)],
        rest: CLASSES.into(),
        links: [300_000.0, 150_000.0, 60_000.0],
    }
}
