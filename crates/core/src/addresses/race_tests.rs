use super::*;

const MS: Time = 1_000;

/// A connection source with scripted idle connections and a dial limit that may be exhausted.
#[derive(Default)]
struct ScriptedSource {
    idle: Vec<Endpoint>,
    is_exhausted: bool,
    wait: Time,
    late: Vec<Endpoint>,
    cancelled: Vec<Endpoint>,
}

impl ConnectionSource<()> for ScriptedSource {
    fn take_idle(&mut self, _: Time, endpoint: &Endpoint) -> Option<()> {
        let at = self.idle.iter().position(|idle| idle == endpoint)?;
        self.idle.remove(at);
        Some(())
    }

    fn reserve_dial(&mut self, now: Time, by: Time, _: &Endpoint) -> Option<Time> {
        Some(now + self.wait).filter(|at| !self.is_exhausted && *at <= by)
    }

    fn cancel_dial(&mut self, endpoint: &Endpoint) {
        self.cancelled.push(endpoint.clone());
    }

    fn proof_late(&mut self, _: Time, _: Time, endpoint: &Endpoint) {
        self.late.push(endpoint.clone());
    }
}

fn endpoint(n: usize) -> Endpoint {
    ["unix:/run/x", "[::1]:80", "127.0.0.1:80"][n].parse().unwrap()
}

fn race(lanes: usize, mean: f64, proof: Proof, time: Time) -> Race {
    let candidate = |n| Candidate {
        endpoint: endpoint(n),
        mean_connect: mean,
        mean_proof: mean,
        is_proven: false,
        rejects_continue: false,
    };
    Race::new(ServerId("s".into()), 0, time, (0..lanes).map(candidate).collect(), |_| proof)
}

const TIME: Time = 2_000 * MS;

#[test]
fn the_next_address_is_dialed_after_the_delay_or_at_once_after_a_refusal() {
    let (mut race, mut source) = (race(3, 0.0, Proof::None, TIME), ScriptedSource::default());
    assert_eq!(race.poll(0, &mut source), RaceStep::Dial(0, TIME));
    assert_eq!(race.poll(0, &mut source), RaceStep::Wait(250 * MS));
    assert!(race.record_failure(0));
    assert_eq!(race.poll(3 * MS, &mut source), RaceStep::Dial(1, TIME));
    assert_eq!(race.poll(253 * MS, &mut source), RaceStep::Dial(2, TIME));
    assert!(race.record_connected(2));
    assert_eq!(race.poll(260 * MS, &mut source), RaceStep::Send(2, RemainingRequest::Whole));
    assert!(!race.record_connected(1), "there is one winner");
    let summary = race.summary(260 * MS).unwrap();
    assert_eq!(
        (summary.winner, summary.lost),
        (endpoint(2), vec![endpoint(0), endpoint(1)]),
        "one was refused, one overtaken"
    );
    assert_eq!(summary.overtaken, [(endpoint(1), 3 * MS)]);
    assert_eq!(race.summary(200 * MS).unwrap().overtaken, [], "it is not late before its delay has passed");
}

#[test]
fn mean_times_and_a_short_time_limit_shorten_the_delay() {
    let mut source = ScriptedSource::default();
    let mut quick = race(2, 5.0 * MS as f64, Proof::None, TIME);
    quick.poll(0, &mut source);
    assert_eq!(quick.poll(0, &mut source), RaceStep::Wait(MIN_DIAL_DELAY));
    let mut short = race(3, 0.0, Proof::None, 90 * MS);
    short.poll(0, &mut source);
    assert_eq!(short.poll(0, &mut source), RaceStep::Wait(22_500), "the last address still gets its share");
}

#[test]
fn the_race_is_lost_at_once_when_all_addresses_refuse() {
    let mut source = ScriptedSource::default();
    let mut dead = race(3, 0.0, Proof::Continue, TIME);
    for n in 0..3 {
        assert_eq!(dead.poll(n as Time, &mut source), RaceStep::Dial(n, TIME));
        assert!(dead.record_failure(n));
    }
    assert_eq!(dead.poll(3, &mut source), RaceStep::Lost(RaceFailure::NotConnected));
    assert_eq!(
        race(0, 0.0, Proof::None, TIME).poll(0, &mut source),
        RaceStep::Lost(RaceFailure::NotConnected)
    );
}

/// IPv6 accepts and then stalls: the other address is dialed during the proof, and gets the head only after
/// the first connection was closed.
#[test]
fn a_connection_that_stalls_after_accept_is_replaced_by_a_ready_one() {
    let mut source = ScriptedSource::default();
    let mut race = race(2, 0.0, Proof::Continue, TIME);
    race.poll(0, &mut source);
    race.record_connected(0);
    assert_eq!(race.poll(MS, &mut source), RaceStep::Prove(0, Proof::Continue));
    assert_eq!(race.poll(MS, &mut source), RaceStep::Wait(251 * MS));
    assert_eq!(race.poll(251 * MS, &mut source), RaceStep::Dial(1, TIME));
    assert!(matches!(race.poll(251 * MS, &mut source), RaceStep::Wait(TIME)));
    race.record_connected(1);
    assert_eq!(race.poll(252 * MS, &mut source), RaceStep::Drop(0));
    assert!(!race.record_proof(0), "its proof comes too late");
    assert_eq!(race.poll(252 * MS, &mut source), RaceStep::Prove(1, Proof::Continue));
    assert!(race.record_proof(1));
    assert_eq!(race.poll(253 * MS, &mut source), RaceStep::Send(1, RemainingRequest::Body));
    assert_eq!(source.late, [endpoint(0)]);
    assert_eq!(race.summary(253 * MS).unwrap().lost, [endpoint(0)]);
}

#[test]
fn a_late_proof_counts_if_no_other_connection_is_ready() {
    let mut source = ScriptedSource::default();
    let mut race = race(2, 0.0, Proof::Continue, TIME);
    race.poll(0, &mut source);
    race.record_connected(0);
    race.poll(MS, &mut source);
    assert_eq!(race.poll(300 * MS, &mut source), RaceStep::Dial(1, TIME));
    race.record_failure(1);
    assert_eq!(race.poll(301 * MS, &mut source), RaceStep::Wait(TIME));
    race.record_proof(0);
    assert_eq!(race.poll(1_000 * MS, &mut source), RaceStep::Send(0, RemainingRequest::Body));
}

/// A proof that succeeds as the time runs out: in either order, no body is sent at or after the end.
#[test]
fn nothing_is_sent_at_or_after_the_end() {
    for proven_first in [true, false] {
        let mut source = ScriptedSource::default();
        let mut race = race(1, 0.0, Proof::Continue, TIME);
        race.poll(0, &mut source);
        race.record_connected(0);
        race.poll(MS, &mut source);
        if proven_first {
            assert!(race.record_proof(0));
            assert_eq!(race.poll(TIME, &mut source), RaceStep::Lost(RaceFailure::NotProven));
        } else {
            assert_eq!(race.poll(TIME, &mut source), RaceStep::Lost(RaceFailure::NotProven));
            assert!(!race.record_proof(0));
            assert_eq!(race.poll(TIME, &mut source), RaceStep::Lost(RaceFailure::NotProven));
            assert_eq!(source.late, [endpoint(0)]);
        }
    }
}

#[test]
fn a_closed_pooled_connection_is_replaced_and_does_not_count_as_a_failure() {
    let mut source = ScriptedSource { idle: vec![endpoint(0); 4], ..ScriptedSource::default() };
    let mut race = race(2, 0.0, Proof::Continue, TIME);
    // One was closed before anything was written, the other closes on the head: no body was sent on either.
    assert_eq!(race.poll(0, &mut source), RaceStep::Reuse(0, ()));
    race.record_stale(0);
    assert_eq!(race.poll(0, &mut source), RaceStep::Reuse(0, ()));
    assert_eq!(race.poll(0, &mut source), RaceStep::Prove(0, Proof::Continue));
    assert!(!race.record_failure(0), "it does not count against the address");
    assert_eq!(
        race.poll(0, &mut source),
        RaceStep::Dial(0, TIME),
        "after two stale connections it dials a new one"
    );
    assert!(!race.reused(0));
    race.record_connected(0);
    race.poll(MS, &mut source);
    assert!(race.record_failure(0), "closing a new connection counts against the address");
    assert_eq!(race.poll(MS, &mut source), RaceStep::Dial(1, TIME));
}

#[test]
fn a_peer_that_rejects_the_expectation_gets_the_whole_request() {
    let mut source = ScriptedSource::default();
    let mut race = race(1, 0.0, Proof::Continue, TIME);
    race.poll(0, &mut source);
    race.record_connected(0);
    race.poll(MS, &mut source);
    let mut closed = race.clone();
    race.record_expectation_failed(0, true);
    assert_eq!(race.poll(2 * MS, &mut source), RaceStep::Send(0, RemainingRequest::Whole));
    closed.record_expectation_failed(0, false);
    assert_eq!(closed.poll(2 * MS, &mut source), RaceStep::Dial(0, TIME));
    closed.record_connected(0);
    assert_eq!(closed.poll(3 * MS, &mut source), RaceStep::Prove(0, Proof::Health));
}

#[test]
fn a_health_request_proves_without_writing_any_of_the_request() {
    let mut source = ScriptedSource::default();
    let mut race = race(1, 0.0, Proof::Health, TIME);
    race.poll(0, &mut source);
    race.record_connected(0);
    assert_eq!(race.poll(MS, &mut source), RaceStep::Prove(0, Proof::Health));
    let mut silent = race.clone();
    assert_eq!(silent.poll(TIME, &mut source), RaceStep::Lost(RaceFailure::NotConnected));
    race.record_proof(0);
    assert_eq!(race.poll(2 * MS, &mut source), RaceStep::Send(0, RemainingRequest::Whole));
}

#[test]
fn a_dial_waits_for_the_rate_limit_and_is_cancelled_if_the_race_ends_first() {
    let mut source = ScriptedSource { wait: 40 * MS, ..ScriptedSource::default() };
    let mut race = race(2, 0.0, Proof::None, TIME);
    assert_eq!(race.poll(0, &mut source), RaceStep::Wait(40 * MS));
    assert_eq!(race.poll(40 * MS, &mut source), RaceStep::Dial(0, TIME));
    assert!(matches!(race.poll(300 * MS, &mut source), RaceStep::Wait(at) if at == 340 * MS));
    race.record_connected(0);
    assert_eq!(race.poll(301 * MS, &mut source), RaceStep::Send(0, RemainingRequest::Whole));
    assert_eq!(source.cancelled, [endpoint(1)]);
    let mut exhausted = ScriptedSource { is_exhausted: true, ..ScriptedSource::default() };
    let mut denied = self::race(2, 0.0, Proof::None, TIME);
    assert_eq!(denied.poll(0, &mut exhausted), RaceStep::Lost(RaceFailure::NoRoom));
}
