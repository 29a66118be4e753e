//! `elderstage demo`: runs mock engines, a tool server and a front in one process, and prints an example request.

use std::net::SocketAddr;
use std::process::ExitCode;

use elderstage_front::Front;
use elderstage_rehearsal::fleet::{Fleet, demo_site};
use elderstage_standin::traffic::Log;

/// Runs the demo with a front that listens on `listen`, until a signal stops it.
pub fn run(listen: SocketAddr) -> Result<ExitCode, String> {
    elderstage_net::init(2);
    let fleet = Fleet::start(demo_site(), &Log::none())
        .map_err(|error| format!("cannot start the stand-ins: {error}"))?;
    let dir = std::env::temp_dir().join(format!("elderstage-demo-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|error| format!("{}: {error}", dir.display()))?;
    let write = |name: &str, text: String| {
        std::fs::write(dir.join(name), text).map_err(|error| format!("{name}: {error}"))
    };
    let text = fleet.front_config_text(&format!("    listen {listen}\n    zone a"), "servers.conf");
    write("servers.conf", fleet.server_list_text(&fleet.initial_states))?;
    write("front.conf", text.clone())?;
    let config = elderstage_config::parse("front.conf", &text).map_err(|errors| errors.to_string())?;
    let front = Front::start(config, &dir, 1).map_err(|error| error.to_string())?;
    let url = format!("http://{}/mcp", front.addr());
    println!("A front with stand-in engines listens on {url}");
    println!("Its configuration is {}", dir.join("front.conf").display());
    println!("Tools: ask (safe to repeat), order (calls place_order; never runs twice). For example:\n");
    println!(
        "curl -sN {url} -H 'content-type: application/json' -H 'accept: application/json, text/event-stream' \\\n  \
         -d '{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{{\"name\":\"order\",\
         \"arguments\":{{\"prompt\":\"One blue bowl, please. [call place_order]\"}},\
         \"_meta\":{{\"progressToken\":\"p\"}}}}}}'\n"
    );
    println!("Stop it with Ctrl-C.");
    let result = crate::serve::run_until_signal(front);
    fleet.stop();
    // The directory contains only the files written above.
    let _ = std::fs::remove_dir_all(&dir);
    result
}
