use super::{DueAction, NEVER, Times};

/// One step of the connection or of the timer thread.
#[derive(Clone, Copy)]
enum Step {
    /// The connection moves the limit. The next `Add` queues the entry that it needs.
    Set(u64),
    /// The connection queues the entry.
    Add,
    /// The timer thread handles the first entry, at the entry's own time.
    HandleFirst,
}

/// A connection's limit with a timer queue whose clock the test moves.
struct Simulation {
    times: Times,
    entries: Vec<u64>,
    to_queue: Option<u64>,
    now: u64,
    is_woken: bool,
}

impl Simulation {
    fn new() -> Simulation {
        let times = Times { until: NEVER, queued: NEVER };
        Simulation { times, entries: Vec::new(), to_queue: None, now: 0, is_woken: false }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Set(until) => {
                self.is_woken = false;
                if self.times.set(until) {
                    self.to_queue = Some(until);
                }
            }
            Step::Add => self.entries.extend(self.to_queue.take()),
            Step::HandleFirst => {
                let Some(first) = self.entries.iter().min().copied() else { return };
                let index = self.entries.iter().position(|entry| *entry == first).unwrap();
                self.entries.remove(index);
                self.now = self.now.max(first);
                match self.times.on_due(first, self.now) {
                    DueAction::Drop => {}
                    DueAction::Requeue(until) => self.entries.push(until),
                    DueAction::Wake => self.is_woken = true,
                }
            }
        }
    }
}

/// All interleavings of two sequences of steps.
fn interleavings(one: &[Step], other: &[Step]) -> Vec<Vec<Step>> {
    let (Some((first, first_rest)), Some((second, second_rest))) = (one.split_first(), other.split_first())
    else {
        return vec![[one, other].concat()];
    };
    let prepend = |step: &Step, orders: Vec<Vec<Step>>| {
        orders.into_iter().map(|order| [vec![*step], order].concat()).collect::<Vec<_>>()
    };
    [prepend(first, interleavings(first_rest, other)), prepend(second, interleavings(one, second_rest))]
        .concat()
}

/// In every interleaving of a connection that moves its limit and the timer thread, the waiting coroutine is
/// woken.
#[test]
fn a_moved_limit_wakes_in_every_interleaving() {
    let limits = [5, 9, 3, NEVER, 20, 7];
    let mut tried = 0;
    for a in limits {
        for b in limits {
            for last in [4, 8, 30] {
                let moves = [Step::Set(a), Step::Add, Step::Set(b), Step::Add, Step::Set(last), Step::Add];
                for order in interleavings(&moves, &[Step::HandleFirst; 4]) {
                    let mut simulation = Simulation::new();
                    order.iter().for_each(|step| simulation.step(*step));
                    for _ in 0..8 {
                        simulation.step(Step::HandleFirst);
                    }
                    assert!(simulation.is_woken, "limits {a}, {b}, {last}");
                    tried += 1;
                }
            }
        }
    }
    assert_eq!(tried, 36 * 3 * 210);
}
