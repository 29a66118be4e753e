//! A front is told to end while it holds an order that runs at an engine. Its client must not be told that trying
//! again is harmless.

#[path = "../lib-2/common.rs"]
mod common;
#[path = "../lib-2/mcp.rs"]
mod mcp;

use common::*;
use mcp::*;
use std::thread;

/// Time until the engine's first token: under the 12 s for which clients of this class wait.
const FIRST_TOKEN_MS: u64 = 5_000;

fn main() {
    guard();
    let rec = Rec::new();
    let engine = start_mcp_engine(
        &rec,
        Box::new(|_| Turn::Text { first_ms: FIRST_TOKEN_MS, text: "the order is confirmed".into() }),
    );
    let config = |name: &str, listen| {
        format!(
            "zones heredia\n\
             front {{\n    listen {listen}\n    name {name}\n    zone heredia\n    drain 3s\n}}\n\
             class encargo {{\n    repeat unsafe\n    first-token 2500ms\n    give-up 12s\n    total 30s\n    worth 5\n}}\n\
             route encargo {{\n    class encargo\n}}\n\
             kind tipo-d {{\n    role mixed\n    kv-tokens 150k\n}}\n\
             server d1 {{\n    address {}\n    kind tipo-d\n    zone heredia\n}}\n",
            engine.addr
        )
    };
    let (addr1, mut addr2) = (free_addr(), free_addr());
    while addr2 == addr1 {
        addr2 = free_addr();
    }
    let first = Front::start(&rec, addr1, &config("n1", addr1));
    let second = Front::start(&rec, addr2, &config("n2", addr2));
    if !first.wait_ready(&rec) || !second.wait_ready(&rec) {
        could_not_run(&rec, "a front is not ready");
    }
    let prompt = "please order <<one blue bowl>>";
    let client = {
        let rec = rec.clone();
        thread::spawn(move || call(&rec, addr1, "encargo", prompt, ms(20_000)))
    };
    thread::sleep(ms(500));
    let runs = || engine.runs.lock().unwrap().len();
    if runs() != 1 {
        could_not_run(&rec, "the order has not reached the engine");
    }
    if trouble() {
        rec.log("SIGTERM to the first front");
        first.signal(SIGTERM);
    }
    let answer = client.join().unwrap();
    if is_refused(&answer) {
        let before = runs();
        rec.log("the client was told that trying again is harmless; it does so at the other front");
        thread::sleep(ms(500));
        call(&rec, addr2, "encargo", prompt, ms(20_000));
        let verdict = format!("BROKEN: refused after the order ran {before} time(s); it ran {} times", runs());
        rec.finish(&verdict);
        exit(1);
    }
    if answer.status == 0 {
        could_not_run(&rec, "no answer: another rule than this case's");
    }
    rec.finish(&format!("held: the order ran {} time(s) and was not refused", runs()));
    exit(0);
}
