use super::{Due, NEVER, Times};

/// What the connection does, and what the thread that keeps the list does, one step at a time.
#[derive(Clone, Copy)]
enum Step {
    /// Moves the limit; a place that it needs is added by the next `Add`.
    Set(u64),
    Add,
    /// The list's thread comes to its first place, at the place's own time.
    Keep,
}

struct World {
    times: Times,
    places: Vec<u64>,
    wanted: Option<u64>,
    now: u64,
    woken: bool,
}

impl World {
    fn new() -> World {
        let times = Times { until: NEVER, listed: NEVER };
        World { times, places: Vec::new(), wanted: None, now: 0, woken: false }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Set(until) => {
                self.woken = false;
                if self.times.set(until) {
                    self.wanted = Some(until);
                }
            }
            Step::Add => self.places.extend(self.wanted.take()),
            Step::Keep => {
                let Some(first) = self.places.iter().min().copied() else { return };
                let at = self.places.iter().position(|place| *place == first).unwrap();
                self.places.remove(at);
                self.now = self.now.max(first);
                match self.times.due(first, self.now) {
                    Due::Drop => {}
                    Due::Later(until) => self.places.push(until),
                    Due::Wake => self.woken = true,
                }
            }
        }
    }
}

/// All orders in which the two lists of steps can cross.
fn orders(one: &[Step], other: &[Step]) -> Vec<Vec<Step>> {
    let (Some((first, rest)), Some((second, left))) = (one.split_first(), other.split_first()) else {
        return vec![[one, other].concat()];
    };
    let behind = |step: &Step, orders: Vec<Vec<Step>>| {
        orders.into_iter().map(|order| [vec![*step], order].concat()).collect::<Vec<_>>()
    };
    [behind(first, orders(rest, other)), behind(second, orders(one, left))].concat()
}

/// However the two cross, whoever waits with a limit is woken in the end.
#[test]
fn a_limit_is_never_lost_however_it_is_moved() {
    let limits = [5, 9, 3, NEVER, 20, 7];
    let mut tried = 0;
    for a in limits {
        for b in limits {
            for last in [4, 8, 30] {
                let moves = [Step::Set(a), Step::Add, Step::Set(b), Step::Add, Step::Set(last), Step::Add];
                for order in orders(&moves, &[Step::Keep; 4]) {
                    let mut world = World::new();
                    order.iter().for_each(|step| world.step(*step));
                    for _ in 0..8 {
                        world.step(Step::Keep);
                    }
                    assert!(world.woken, "limits {a}, {b}, {last}");
                    tried += 1;
                }
            }
        }
    }
    assert_eq!(tried, 36 * 3 * 210);
}
