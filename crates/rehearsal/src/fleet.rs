//! A fleet of mock engines and a tool server on loopback, and the configuration of a front that uses it.
//!
//! The fleet lives in this process. Fronts are started elsewhere, from the configuration and the server list that
//! this module writes. All TCP ports are assigned by the operating system, so that fleets do not collide.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

use elderstage_net::Endpoint;
use elderstage_protocol::place::AddressFamily;
use elderstage_standin::host::{AddressFault, Control, EngineHost, HostOptions};
use elderstage_standin::model::{EngineSpec, Role};
use elderstage_standin::tool::ToolServer;
use elderstage_standin::traffic::Log;

/// A kind of engine: all engines of a kind have the same model and capacity.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name in the configuration.
    pub name: String,
    /// Capacity and speed of the mock engine.
    pub spec: EngineSpec,
}

/// One engine to start.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its name in the server list.
    pub name: String,
    /// Index of its kind in [`Site::kinds`].
    pub kind: usize,
    /// The zone that it runs in.
    pub zone: String,
    /// Its cell within the zone.
    pub cell: u32,
    /// Kinds of its addresses, in the order of preference.
    pub address_families: Vec<AddressFamily>,
}

/// The description of a fleet, from which it is started and its fronts are configured.
#[derive(Clone, Debug)]
pub struct Site {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Kinds of engines.
    pub kinds: Vec<Kind>,
    /// Engines to start.
    pub engines: Vec<Engine>,
    /// Further directives of the configuration: classes, rules and routes. The tools' directives are added to them.
    pub extra_directives: String,
    /// Tokens of state that move a second: inside a cell, between cells of a zone, and between zones.
    pub link_tokens_per_s: [f64; 3],
}

/// A running fleet.
pub struct Fleet {
    /// What it was started from.
    pub site: Site,
    /// The engines by name.
    pub hosts: BTreeMap<String, EngineHost>,
    /// The tool server.
    pub tools: ToolServer,
    /// State of each server in the first server list.
    pub initial_states: BTreeMap<String, &'static str>,
    /// Directory of the Unix sockets.
    dir: PathBuf,
}

/// A loopback address whose port is assigned by the operating system.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Creates a directory for the fleet's Unix sockets. Its path is short because the length of socket paths is limited.
fn create_socket_dir() -> std::io::Result<PathBuf> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("elderstage-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

/// The places of an engine besides its IPv4 address. Every engine has that one, because other engines fetch states
/// through it.
fn additional_places(engine: &Engine, dir: &Path) -> std::io::Result<Vec<Endpoint>> {
    let mut endpoints = Vec::new();
    for family in &engine.address_families {
        match family {
            AddressFamily::V4 => {}
            AddressFamily::V6 => endpoints.push(Endpoint::Tcp((std::net::Ipv6Addr::LOCALHOST, 0).into())),
            AddressFamily::Unix => endpoints.push(Endpoint::Unix(dir.join(format!("{}.sock", engine.name)))),
        }
    }
    Ok(endpoints)
}

impl Fleet {
    /// Starts all engines of a site and the tool server. Their traffic goes to the log.
    pub fn start(site: Site, log: &Log) -> std::io::Result<Fleet> {
        let mut hosts = BTreeMap::new();
        let dir = create_socket_dir()?;
        for engine in &site.engines {
            let options = HostOptions {
                name: engine.name.clone(),
                spec: site.kinds[engine.kind].spec.clone(),
                listen: ANY_PORT,
                zone: engine.zone.clone(),
                cell: engine.cell,
                link_tokens_per_s: site.link_tokens_per_s,
                additional_endpoints: additional_places(engine, &dir)?,
            };
            hosts.insert(engine.name.clone(), EngineHost::start(options, false, log.clone())?);
        }
        let tools = ToolServer::start("tools", ANY_PORT, true, log.clone())?;
        let listed = hosts.keys().map(|name| (name.clone(), "running")).collect();
        Ok(Fleet { site, hosts, tools, initial_states: listed, dir })
    }

    /// Index of the engine's first place of this family, as [`Control::AddressFault`] takes it.
    pub fn endpoint_index(&self, engine: &str, family: AddressFamily) -> Option<usize> {
        self.hosts.get(engine)?.listen_endpoints().iter().position(|endpoint| endpoint.family() == family)
    }

    /// Sets the fault of one kind of address, at one engine or at all engines that have it.
    pub fn set_address_fault(
        &self,
        engine: Option<&str>,
        family: AddressFamily,
        fault: AddressFault,
    ) -> std::io::Result<()> {
        for (name, host) in &self.hosts {
            if engine.is_none_or(|engine| engine == name)
                && let Some(index) = self.endpoint_index(name, family)
            {
                host.control(Control::AddressFault(index, fault))?;
            }
        }
        Ok(())
    }

    /// The engine's addresses in the order of preference, as the server list has them.
    fn addresses(&self, engine: &Engine) -> String {
        let endpoints = self.hosts.get(&engine.name).map(EngineHost::listen_endpoints).unwrap_or_default();
        let address = |family: &AddressFamily| {
            endpoints.iter().find(|endpoint| endpoint.family() == *family).map(ToString::to_string)
        };
        engine.address_families.iter().filter_map(address).collect::<Vec<_>>().join(" ")
    }

    /// The text of the server list with these states. A server without a state is listed as gone.
    pub fn server_list_text(&self, listed: &BTreeMap<String, &'static str>) -> String {
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

    /// The text of a front's configuration. `front_section` holds the directives of its `front` section.
    pub fn front_config_text(&self, front_section: &str, servers_file: &str) -> String {
        let mut text = format!("zones {}\n", self.site.zones.join(" "));
        let _ = writeln!(text, "front {{\n{front_section}\n}}");
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
        let _ = writeln!(text, "{}\nservers {servers_file}", self.site.extra_directives);
        text
    }

    /// Stops all engines and the tool server.
    pub fn stop(&self) {
        self.hosts.values().for_each(EngineHost::stop);
        self.tools.kill();
        // The directory holds only the sockets of this run.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Directives of two classes and their routes: `ask`, which is safe to repeat, and `order`, which must not run twice.
pub const DEFAULT_CLASSES: &str = r#"
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

/// The site of `elderstage demo`: one zone with two readers, two writers and a mixed engine.
pub fn demo_site() -> Site {
    let kind = |name: &str, spec| Kind { name: name.into(), spec };
    let engine = |name: &str, kind| Engine {
        name: name.into(),
        kind,
        zone: "a".into(),
        cell: 0,
        address_families: vec![AddressFamily::V4],
    };
    Site {
        zones: vec!["a".into()],
        kinds: vec![
            kind("reader", EngineSpec { role: Role::Prefill, max_running: 8, ..EngineSpec::default() }),
            kind(
                "writer",
                EngineSpec {
                    role: Role::Decode,
                    read_tokens_per_s: 7_000.0,
                    max_running: 96,
                    ..EngineSpec::default()
                },
            ),
            kind(
                "mixed",
                EngineSpec { role: Role::Mixed, read_tokens_per_s: 10_000.0, ..EngineSpec::default() },
            ),
        ],
        engines: vec![engine("r1", 0), engine("r2", 0), engine("w1", 1), engine("w2", 1), engine("m1", 2)],
        extra_directives: DEFAULT_CLASSES.into(),
        link_tokens_per_s: [300_000.0, 150_000.0, 60_000.0],
    }
}
