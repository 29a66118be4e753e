use super::*;

const MS: Time = 1_000;

/// A supply with idle connections by address, and a budget that may be shut.
#[derive(Default)]
struct Plain {
    idle: Vec<Place>,
    shut: bool,
    wait: Time,
    late: Vec<Place>,
    unused: Vec<Place>,
}

impl Supply<()> for Plain {
    fn idle(&mut self, _: Time, place: &Place) -> Option<()> {
        let at = self.idle.iter().position(|idle| idle == place)?;
        self.idle.remove(at);
        Some(())
    }

    fn dial(&mut self, now: Time, by: Time, _: &Place) -> Option<Time> {
        Some(now + self.wait).filter(|at| !self.shut && *at <= by)
    }

    fn unused(&mut self, place: &Place) {
        self.unused.push(place.clone());
    }

    fn late(&mut self, _: Time, _: Time, place: &Place) {
        self.late.push(place.clone());
    }
}

fn place(n: usize) -> Place {
    ["unix:/run/x", "[::1]:80", "127.0.0.1:80"][n].parse().unwrap()
}

fn race(lanes: usize, usual: f64, proof: Proof, time: Time) -> Race {
    let choice =
        |n| Choice { place: place(n), connect: usual, prove: usual, proven: false, no_continue: false };
    Race::new(ServerId("s".into()), 0, time, (0..lanes).map(choice).collect(), |_| proof)
}

const TIME: Time = 2_000 * MS;

#[test]
fn the_next_address_is_dialled_after_the_delay_or_at_once_after_a_refusal() {
    let (mut race, mut supply) = (race(3, 0.0, Proof::None, TIME), Plain::default());
    assert_eq!(race.poll(0, &mut supply), Step::Dial(0, TIME));
    assert_eq!(race.poll(0, &mut supply), Step::Wait(250 * MS));
    assert!(race.failed(0));
    assert_eq!(race.poll(3 * MS, &mut supply), Step::Dial(1, TIME));
    assert_eq!(race.poll(253 * MS, &mut supply), Step::Dial(2, TIME));
    assert!(race.connected(2));
    assert_eq!(race.poll(260 * MS, &mut supply), Step::Send(2, Rest::Whole));
    assert!(!race.connected(1), "one winner");
    let beaten = race.beaten(260 * MS).unwrap();
    assert_eq!(
        (beaten.winner, beaten.lost),
        (place(2), vec![place(0), place(1)]),
        "one refused, one overtaken"
    );
    assert_eq!(beaten.overtaken, [(place(1), 3 * MS)]);
    assert_eq!(race.beaten(200 * MS).unwrap().overtaken, [], "before its delay it is not late");
}

#[test]
fn learned_times_shorten_the_delay_and_little_time_shrinks_it() {
    let mut supply = Plain::default();
    let mut quick = race(2, 5.0 * MS as f64, Proof::None, TIME);
    quick.poll(0, &mut supply);
    assert_eq!(quick.poll(0, &mut supply), Step::Wait(LEAST_DELAY));
    let mut short = race(3, 0.0, Proof::None, 90 * MS);
    short.poll(0, &mut supply);
    assert_eq!(short.poll(0, &mut supply), Step::Wait(22_500), "the last one still has its share");
}

#[test]
fn all_dead_is_known_at_once() {
    let mut supply = Plain::default();
    let mut dead = race(3, 0.0, Proof::Continue, TIME);
    for n in 0..3 {
        assert_eq!(dead.poll(n as Time, &mut supply), Step::Dial(n, TIME));
        assert!(dead.failed(n));
    }
    assert_eq!(dead.poll(3, &mut supply), Step::Lost(Lost::NotConnected));
    assert_eq!(race(0, 0.0, Proof::None, TIME).poll(0, &mut supply), Step::Lost(Lost::NotConnected));
}

/// IPv6 accepts and then stalls: the other is dialled while its word is waited for, and gets the head only after
/// the first was closed.
#[test]
fn a_connection_that_stalls_after_accept_is_given_up_for_one_that_is_there() {
    let mut supply = Plain::default();
    let mut race = race(2, 0.0, Proof::Continue, TIME);
    race.poll(0, &mut supply);
    race.connected(0);
    assert_eq!(race.poll(MS, &mut supply), Step::Prove(0, Proof::Continue));
    assert_eq!(race.poll(MS, &mut supply), Step::Wait(251 * MS));
    assert_eq!(race.poll(251 * MS, &mut supply), Step::Dial(1, TIME));
    assert!(matches!(race.poll(251 * MS, &mut supply), Step::Wait(TIME)));
    race.connected(1);
    assert_eq!(race.poll(252 * MS, &mut supply), Step::Drop(0));
    assert!(!race.proven(0), "its word comes too late");
    assert_eq!(race.poll(252 * MS, &mut supply), Step::Prove(1, Proof::Continue));
    assert!(race.proven(1));
    assert_eq!(race.poll(253 * MS, &mut supply), Step::Send(1, Rest::Body));
    assert_eq!(supply.late, [place(0)]);
    assert_eq!(race.beaten(253 * MS).unwrap().lost, [place(0)]);
}

#[test]
fn a_late_word_is_still_good_where_nothing_else_is_there() {
    let mut supply = Plain::default();
    let mut race = race(2, 0.0, Proof::Continue, TIME);
    race.poll(0, &mut supply);
    race.connected(0);
    race.poll(MS, &mut supply);
    assert_eq!(race.poll(300 * MS, &mut supply), Step::Dial(1, TIME));
    race.failed(1);
    assert_eq!(race.poll(301 * MS, &mut supply), Step::Wait(TIME));
    race.proven(0);
    assert_eq!(race.poll(1_000 * MS, &mut supply), Step::Send(0, Rest::Body));
}

/// The word comes as the time fires: whichever is seen first, no body goes after the end.
#[test]
fn nothing_is_sent_at_or_after_the_end() {
    for proven_first in [true, false] {
        let mut supply = Plain::default();
        let mut race = race(1, 0.0, Proof::Continue, TIME);
        race.poll(0, &mut supply);
        race.connected(0);
        race.poll(MS, &mut supply);
        if proven_first {
            assert!(race.proven(0));
            assert_eq!(race.poll(TIME, &mut supply), Step::Lost(Lost::NotProven));
        } else {
            assert_eq!(race.poll(TIME, &mut supply), Step::Lost(Lost::NotProven));
            assert!(!race.proven(0));
            assert_eq!(race.poll(TIME, &mut supply), Step::Lost(Lost::NotProven));
            assert_eq!(supply.late, [place(0)]);
        }
    }
}

#[test]
fn a_pooled_connection_that_was_closed_is_replaced_and_blames_nobody() {
    let mut supply = Plain { idle: vec![place(0); 4], ..Plain::default() };
    let mut race = race(2, 0.0, Proof::Continue, TIME);
    // Found closed before anything was written, then closed on the head: the body has gone to neither.
    assert_eq!(race.poll(0, &mut supply), Step::Reuse(0, ()));
    race.stale(0);
    assert_eq!(race.poll(0, &mut supply), Step::Reuse(0, ()));
    assert_eq!(race.poll(0, &mut supply), Step::Prove(0, Proof::Continue));
    assert!(!race.failed(0), "says nothing of the address");
    assert_eq!(race.poll(0, &mut supply), Step::Dial(0, TIME), "enough of pooled ones");
    assert!(!race.reused(0));
    race.connected(0);
    race.poll(MS, &mut supply);
    assert!(race.failed(0), "a new one that is closed does");
    assert_eq!(race.poll(MS, &mut supply), Step::Dial(1, TIME));
}

#[test]
fn a_peer_that_does_not_know_the_expectation_gets_the_request_whole() {
    let mut supply = Plain::default();
    let mut race = race(1, 0.0, Proof::Continue, TIME);
    race.poll(0, &mut supply);
    race.connected(0);
    race.poll(MS, &mut supply);
    let mut closed = race.clone();
    race.without_continue(0, true);
    assert_eq!(race.poll(2 * MS, &mut supply), Step::Send(0, Rest::Whole));
    closed.without_continue(0, false);
    assert_eq!(closed.poll(2 * MS, &mut supply), Step::Dial(0, TIME));
    closed.connected(0);
    assert_eq!(closed.poll(3 * MS, &mut supply), Step::Prove(0, Proof::Health));
}

#[test]
fn a_health_request_proves_and_writes_nothing_of_the_order() {
    let mut supply = Plain::default();
    let mut race = race(1, 0.0, Proof::Health, TIME);
    race.poll(0, &mut supply);
    race.connected(0);
    assert_eq!(race.poll(MS, &mut supply), Step::Prove(0, Proof::Health));
    let mut silent = race.clone();
    assert_eq!(silent.poll(TIME, &mut supply), Step::Lost(Lost::NotConnected));
    race.proven(0);
    assert_eq!(race.poll(2 * MS, &mut supply), Step::Send(0, Rest::Whole));
}

#[test]
fn a_dial_waits_for_the_budget_and_gives_it_back_when_the_race_is_over_before() {
    let mut supply = Plain { wait: 40 * MS, ..Plain::default() };
    let mut race = race(2, 0.0, Proof::None, TIME);
    assert_eq!(race.poll(0, &mut supply), Step::Wait(40 * MS));
    assert_eq!(race.poll(40 * MS, &mut supply), Step::Dial(0, TIME));
    assert!(matches!(race.poll(300 * MS, &mut supply), Step::Wait(at) if at == 340 * MS));
    race.connected(0);
    assert_eq!(race.poll(301 * MS, &mut supply), Step::Send(0, Rest::Whole));
    assert_eq!(supply.unused, [place(1)]);
    let mut shut = Plain { shut: true, ..Plain::default() };
    let mut crowded = self::race(2, 0.0, Proof::None, TIME);
    assert_eq!(crowded.poll(0, &mut shut), Step::Lost(Lost::NoRoom));
}
