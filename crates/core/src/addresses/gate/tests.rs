use super::*;

const S: Time = 1_000_000;

fn endpoint(n: u16) -> Endpoint {
    Endpoint::Tcp(([127, 0, 0, 1], n).into())
}

#[test]
fn dials_start_at_once_up_to_the_burst_and_then_at_the_rate() {
    let bounds = ConnectionLimits { dials_per_s: 10.0, dial_burst: 5.0, ..ConnectionLimits::default() };
    let mut limiter = ConnectionLimiter::new(bounds);
    let now = 100 * S;
    let at: Vec<Time> = (0..8).map(|_| limiter.reserve_dial(now, now + S).unwrap() - now).collect();
    assert_eq!(at, [0, 0, 0, 0, 0, 100_000, 200_000, 300_000]);
    // Guards against an unbounded queue: a dial that cannot start in time is rejected and uses no budget.
    for _ in 0..1000 {
        assert_eq!(limiter.reserve_dial(now, now + 350_000), Err(DialRejection::Budget));
    }
    assert_eq!(limiter.reserve_dial(now, now + S), Ok(now + 400_000));
    assert!(!limiter.try_reserve_spare(now + S / 2), "less than half of the burst is available");
    assert!(limiter.try_reserve_spare(now + S));
}

#[test]
fn any_second_has_at_most_the_rate_and_the_burst() {
    let bounds = ConnectionLimits { dials_per_s: 50.0, dial_burst: 20.0, ..ConnectionLimits::default() };
    let mut limiter = ConnectionLimiter::new(bounds);
    let mut at: Vec<Time> = Vec::new();
    for ms in 0..5_000 {
        let now = S + ms * 1_000;
        at.extend(limiter.reserve_dial(now, now + 250_000));
    }
    at.sort_unstable();
    let most = at.iter().map(|from| at.iter().filter(|t| (*from..from + S).contains(t)).count()).max();
    assert!(most.is_some_and(|most| (50..=70).contains(&most)), "{most:?}");
}

#[test]
fn open_connections_are_limited_per_server_and_in_total() {
    let bounds = ConnectionLimits { max_per_server: 3, max_total: 5, ..ConnectionLimits::default() };
    let mut limiter = ConnectionLimiter::new(bounds);
    let (a, b) = ([endpoint(1), endpoint(2)], [endpoint(3)]);
    for at in [1, 2, 2] {
        assert!(limiter.has_room(a.iter()));
        limiter.count_opened(&endpoint(at));
    }
    assert!(!limiter.has_room(a.iter()) && limiter.has_room(b.iter()));
    limiter.count_opened(&endpoint(3));
    limiter.count_opened(&endpoint(3));
    assert!(!limiter.has_room(b.iter()), "five in total");
    limiter.count_closed(&endpoint(2));
    assert!(limiter.has_room(a.iter()) && limiter.has_room(b.iter()));
    limiter.count_closed(&endpoint(9));
    assert_eq!((limiter.total(), limiter.open_to(&endpoint(2))), (4, 1));
}
