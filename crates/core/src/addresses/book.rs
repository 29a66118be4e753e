//! What was learned of addresses, and the order that follows from it.

use std::collections::{BTreeMap, BTreeSet};

use elderstage::{ServerId, Time};

/// Weight of one connect in the learned time.
const STEP: f64 = 0.3;
/// First pause of an address that failed; it doubles with each failure in a row, up to the longest.
const PAUSE: Time = 500_000;
const LONGEST_PAUSE: Time = 30_000_000;
/// Pauses are stretched by up to this share, drawn for each front, so that fronts do not come back together.
const JITTER: f64 = 0.5;
/// So many servers that fail by one family in a row, with none reached by it meanwhile, speak of a dead network.
const FAMILY_FAILS: usize = 3;

/// How a server is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Family {
    Unix,
    V6,
    V4,
}

/// One address of a server: its place in the configured order, and its family.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address {
    pub place: usize,
    pub family: Family,
}

/// What is known of one address.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known {
    /// Mean time to connect in microseconds; 0 before the first.
    pub connect: f64,
    pub fails: u32,
    /// Not tried before this time, and then by one dial at a time.
    pub until: Time,
    /// When it last answered a request, not only a connect: an address may accept and then stall.
    pub proven: Time,
    /// Dials that are out.
    pub dialing: u32,
}

#[derive(Clone, Debug, Default)]
struct FamilyState {
    failed: BTreeSet<ServerId>,
    until: Time,
    pauses: u32,
}

/// All addresses of all servers, as one front knows them.
#[derive(Clone, Debug, Default)]
pub struct Book {
    servers: BTreeMap<ServerId, BTreeMap<Address, Known>>,
    families: BTreeMap<Family, FamilyState>,
    /// Share of this front's jitter, from 0 to 1.
    jitter: f64,
}

fn pause(fails: u32, jitter: f64) -> Time {
    let base = (PAUSE << fails.saturating_sub(1).min(6)).min(LONGEST_PAUSE);
    (base as f64 * (1.0 + JITTER * jitter)) as Time
}

impl Book {
    /// `jitter`, from 0 to 1, is drawn once for each front.
    pub fn new(jitter: f64) -> Book {
        Book { jitter: jitter.clamp(0.0, 1.0), ..Book::default() }
    }

    /// Takes a server's addresses in the configured order; what is known of those that stay is kept.
    pub fn set(&mut self, server: &ServerId, families: &[Family]) {
        let old = self.servers.remove(server).unwrap_or_default();
        let address = |(place, family): (usize, &Family)| Address { place, family: *family };
        let known =
            families.iter().enumerate().map(address).map(|a| (a, old.get(&a).copied().unwrap_or_default()));
        self.servers.insert(server.clone(), known.collect());
    }

    pub fn remove(&mut self, server: &ServerId) {
        self.servers.remove(server);
        for family in self.families.values_mut() {
            family.failed.remove(server);
        }
    }

    pub fn known(&self, server: &ServerId, address: Address) -> Known {
        self.servers.get(server).and_then(|all| all.get(&address)).copied().unwrap_or_default()
    }

    /// Whether a family is held to be unreachable as a whole.
    pub fn family_down(&self, family: Family, now: Time) -> bool {
        self.families.get(&family).is_some_and(|state| now < state.until)
    }

    /// The addresses to try, in their order: what is fit by preference, then what is paused, soonest first. Paused
    /// ones are there so that a server of which all are paused is still tried, once for each attempt.
    pub fn order(&self, server: &ServerId, now: Time) -> Vec<Address> {
        let Some(all) = self.servers.get(server) else { return Vec::new() };
        let mut order: Vec<(bool, bool, Time, Address)> = all
            .iter()
            .map(|(address, known)| {
                // A paused address whose time has come is fit for one dial at a time.
                let paused = known.fails > 0 && (now < known.until || known.dialing > 0);
                let down = self.family_down(address.family, now);
                (paused, down, if paused { known.until } else { 0 }, *address)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., address)| address).collect()
    }

    pub fn dialing(&mut self, server: &ServerId, address: Address) {
        if let Some(known) = self.get(server, address) {
            known.dialing += 1;
        }
    }

    /// A dial has ended without a word on the address: another one won.
    pub fn dropped(&mut self, server: &ServerId, address: Address) {
        if let Some(known) = self.get(server, address) {
            known.dialing = known.dialing.saturating_sub(1);
        }
    }

    pub fn connected(&mut self, server: &ServerId, address: Address, took: Time) {
        self.dropped(server, address);
        if let Some(known) = self.get(server, address) {
            let took = took as f64;
            known.connect += if known.connect == 0.0 { took } else { STEP * (took - known.connect) };
        }
    }

    /// A request was answered over this address: it is good, and so is its family.
    pub fn proven(&mut self, server: &ServerId, address: Address, now: Time) {
        if let Some(known) = self.get(server, address) {
            (known.proven, known.fails, known.until) = (now, 0, 0);
        }
        self.families.remove(&address.family);
    }

    /// A connect failed, or a connection stalled before it said anything.
    pub fn failed(&mut self, server: &ServerId, address: Address, now: Time) {
        self.dropped(server, address);
        let jitter = self.jitter;
        let Some(known) = self.get(server, address) else { return };
        known.fails += 1;
        known.until = now + pause(known.fails, jitter);
        // Guards against a dead network that is found server by server: a few are enough for all of them.
        let family = self.families.entry(address.family).or_default();
        family.failed.insert(server.clone());
        if family.failed.len() >= FAMILY_FAILS {
            family.pauses += 1;
            family.until = now + pause(family.pauses, jitter);
            family.failed.clear();
        }
    }

    fn get(&mut self, server: &ServerId, address: Address) -> Option<&mut Known> {
        self.servers.get_mut(server)?.get_mut(&address)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000;
    const ALL: [Family; 3] = [Family::Unix, Family::V6, Family::V4];

    fn server(name: &str) -> ServerId {
        ServerId(name.into())
    }

    fn families(book: &Book, name: &str, now: Time) -> Vec<Family> {
        book.order(&server(name), now).into_iter().map(|address| address.family).collect()
    }

    fn at(place: usize) -> Address {
        Address { place, family: ALL[place] }
    }

    #[test]
    fn the_configured_order_holds_until_an_address_fails_and_again_after_its_pause() {
        let mut book = Book::new(0.0);
        book.set(&server("s"), &ALL);
        assert_eq!(families(&book, "s", 0), ALL);
        book.failed(&server("s"), at(0), 0);
        assert_eq!(families(&book, "s", 1), [Family::V6, Family::V4, Family::Unix]);
        assert_eq!(families(&book, "s", PAUSE), ALL, "its time for a trial has come");
        book.dialing(&server("s"), at(0));
        assert_eq!(families(&book, "s", PAUSE)[2], Family::Unix, "one trial at a time");
        book.failed(&server("s"), at(0), PAUSE);
        assert_eq!(families(&book, "s", 2 * PAUSE)[2], Family::Unix, "twice as long");
        book.proven(&server("s"), at(0), 3 * PAUSE);
        assert_eq!(families(&book, "s", 3 * PAUSE), ALL);
    }

    #[test]
    fn a_dead_family_is_found_by_a_few_servers_for_all_of_them() {
        let mut book = Book::new(0.0);
        let names: Vec<String> = (0..50).map(|n| format!("s{n}")).collect();
        for name in &names {
            book.set(&server(name), &[Family::V6, Family::V4]);
        }
        let v6 = Address { place: 0, family: Family::V6 };
        for name in &names[..FAMILY_FAILS] {
            assert_eq!(families(&book, "s40", 0)[0], Family::V6);
            book.failed(&server(name), v6, 0);
        }
        assert_eq!(families(&book, "s40", 1), [Family::V4, Family::V6]);
        // One server reached by it brings the family back for all.
        book.proven(&server("s7"), v6, 2);
        assert_eq!(families(&book, "s40", 3)[0], Family::V6);
    }

    #[test]
    fn one_dead_server_does_not_speak_for_its_family() {
        let mut book = Book::new(0.0);
        for name in ["a", "b"] {
            book.set(&server(name), &ALL);
        }
        for n in 0..20 {
            book.failed(&server("a"), at(1), n * 60 * S);
        }
        assert_eq!(families(&book, "b", 0), ALL);
        assert!(!book.family_down(Family::V6, 20 * 60 * S));
    }

    #[test]
    fn pauses_are_bounded_and_differ_between_fronts() {
        assert!(pause(1, 0.0) < pause(2, 0.0) && pause(60, 1.0) <= (LONGEST_PAUSE as f64 * 1.5) as Time);
        assert_ne!(pause(3, 0.1), pause(3, 0.9));
    }

    #[test]
    fn a_changed_list_keeps_what_was_learned() {
        let mut book = Book::new(0.0);
        book.set(&server("s"), &ALL);
        book.connected(&server("s"), at(1), 900);
        book.set(&server("s"), &ALL[..2]);
        assert_eq!(book.known(&server("s"), at(1)).connect, 900.0);
        assert_eq!(book.order(&server("s"), 0).len(), 2);
        book.remove(&server("s"));
        assert!(book.order(&server("s"), 0).is_empty());
    }
}
