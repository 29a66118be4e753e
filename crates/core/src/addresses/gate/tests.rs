use super::*;

const S: Time = 1_000_000;

fn place(n: u16) -> Place {
    Place::Tcp(([127, 0, 0, 1], n).into())
}

#[test]
fn dials_come_at_once_up_to_the_budget_and_then_at_its_pace() {
    let bounds = Bounds { dials_per_s: 10.0, dials_at_once: 5.0, ..Bounds::default() };
    let mut gate = Gate::new(bounds);
    let now = 100 * S;
    let at: Vec<Time> = (0..8).map(|_| gate.reserve(now, now + S).unwrap() - now).collect();
    assert_eq!(at, [0, 0, 0, 0, 0, 100_000, 200_000, 300_000]);
    // Guards against a queue without an end: what cannot begin in time is told so and takes nothing.
    for _ in 0..1000 {
        assert_eq!(gate.reserve(now, now + 350_000), Err(NoRoom::Budget));
    }
    assert_eq!(gate.reserve(now, now + S), Ok(now + 400_000));
    assert!(!gate.spare(now + S / 2), "less than half is left");
    assert!(gate.spare(now + S));
}

#[test]
fn any_second_holds_at_most_the_pace_and_the_burst() {
    let bounds = Bounds { dials_per_s: 50.0, dials_at_once: 20.0, ..Bounds::default() };
    let mut gate = Gate::new(bounds);
    let mut at: Vec<Time> = Vec::new();
    for ms in 0..5_000 {
        let now = S + ms * 1_000;
        at.extend(gate.reserve(now, now + 250_000));
    }
    at.sort_unstable();
    let most = at.iter().map(|from| at.iter().filter(|t| (*from..from + S).contains(t)).count()).max();
    assert!(most.is_some_and(|most| (50..=70).contains(&most)), "{most:?}");
}

#[test]
fn open_connections_are_bounded_for_a_server_over_its_addresses_and_in_all() {
    let bounds = Bounds { per_server: 3, in_all: 5, ..Bounds::default() };
    let mut gate = Gate::new(bounds);
    let (a, b) = ([place(1), place(2)], [place(3)]);
    for at in [1, 2, 2] {
        assert!(gate.room(a.iter()));
        gate.opened(&place(at));
    }
    assert!(!gate.room(a.iter()) && gate.room(b.iter()));
    gate.opened(&place(3));
    gate.opened(&place(3));
    assert!(!gate.room(b.iter()), "five in all");
    gate.closed(&place(2));
    assert!(gate.room(a.iter()) && gate.room(b.iter()));
    gate.closed(&place(9));
    assert_eq!((gate.all(), gate.open_at(&place(2))), (4, 1));
}
