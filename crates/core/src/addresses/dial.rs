//! One attempt over a server's addresses: staggered, bounded, with one winner.

use elderstage::Time;

use super::book::Address;

/// Time between two dials where nothing was learned (RFC 8305, section 5), and its bounds there.
const DELAY: Time = 250_000;
const LEAST_DELAY: Time = 10_000;
/// A learned delay is this many times the usual time to connect: a dial that takes longer is late.
const LATE: f64 = 4.0;

/// What the caller does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Begin to connect; the connection is given up at the dial's deadline.
    Start(Address),
    /// Nothing until this time, or until a connect ends.
    Wait(Time),
    /// This connection is the attempt's; all others are to be closed.
    Won(Address),
    /// No address is left: no connection, and nothing was written.
    Lost,
}

/// One attempt's dials.
#[derive(Clone, Debug)]
pub struct Dial {
    /// Addresses not yet tried, the next one first.
    left: std::collections::VecDeque<(Address, f64)>,
    out: Vec<Address>,
    winner: Option<Address>,
    next: Time,
    deadline: Time,
}

impl Dial {
    /// `order`: the addresses with their usual time to connect, 0 where unknown. All are tried by `deadline`: with
    /// little time the delays shrink, so that the last one still has its share.
    pub fn new(now: Time, deadline: Time, order: impl IntoIterator<Item = (Address, f64)>) -> Dial {
        Dial { left: order.into_iter().collect(), out: Vec::new(), winner: None, next: now, deadline }
    }

    fn delay(&self, now: Time, usual: f64) -> Time {
        let learned = if usual > 0.0 { (usual * LATE) as Time } else { DELAY };
        let share = self.deadline.saturating_sub(now) / (self.left.len() as Time + 1);
        learned.clamp(LEAST_DELAY, DELAY).min(share)
    }

    /// What to do now. Call again after each step, at the time of a wait, and when a connect has ended.
    pub fn poll(&mut self, now: Time) -> Step {
        if let Some(winner) = self.winner {
            return Step::Won(winner);
        }
        if now >= self.deadline {
            return Step::Lost;
        }
        // With nothing out there is nothing to wait for: all dead is known after the refusals, not the delays.
        if (now >= self.next || self.out.is_empty())
            && let Some((address, usual)) = self.left.pop_front()
        {
            self.next = now + self.delay(now, usual);
            self.out.push(address);
            return Step::Start(address);
        }
        if self.out.is_empty() {
            return Step::Lost;
        }
        let next = if self.left.is_empty() { self.deadline } else { self.next };
        Step::Wait(next.min(self.deadline))
    }

    /// A connect has ended well. `true`: this connection is the attempt's; `false`: close it.
    pub fn connected(&mut self, address: Address) -> bool {
        self.out.retain(|out| *out != address);
        if self.winner.is_none() {
            self.winner = Some(address);
        }
        self.winner == Some(address)
    }

    /// A connect has failed.
    pub fn failed(&mut self, address: Address) {
        self.out.retain(|out| *out != address);
    }

    /// Dials that are out, to be dropped once the attempt has a winner or is lost.
    pub fn out(&self) -> &[Address] {
        &self.out
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::addresses::Family;
    use proptest::prelude::*;

    const MS: Time = 1_000;

    fn address(place: usize) -> Address {
        Address { place, family: [Family::Unix, Family::V6, Family::V4][place % 3] }
    }

    fn dial(addresses: usize, usual: f64, time: Time) -> Dial {
        Dial::new(0, time, (0..addresses).map(|place| (address(place), usual)))
    }

    #[test]
    fn the_next_address_is_dialled_after_the_delay_or_at_once_after_a_refusal() {
        let mut one = dial(3, 0.0, 2_000 * MS);
        assert_eq!(one.poll(0), Step::Start(address(0)));
        assert_eq!(one.poll(0), Step::Wait(250 * MS));
        one.failed(address(0));
        assert_eq!(one.poll(3 * MS), Step::Start(address(1)));
        assert_eq!(one.poll(253 * MS), Step::Start(address(2)));
        assert!(one.connected(address(2)) && !one.connected(address(1)), "one winner");
        assert_eq!(one.poll(260 * MS), Step::Won(address(2)));
    }

    #[test]
    fn learned_times_shorten_the_delay_and_little_time_shrinks_it() {
        let mut quick = dial(2, 5.0 * MS as f64, 2_000 * MS);
        quick.poll(0);
        assert_eq!(quick.poll(0), Step::Wait(20 * MS));
        let mut short = dial(3, 0.0, 90 * MS);
        short.poll(0);
        assert_eq!(short.poll(0), Step::Wait(30 * MS), "the last one still has its share");
    }

    #[test]
    fn all_dead_is_known_at_once() {
        let mut dead = dial(3, 0.0, 2_000 * MS);
        for place in 0..3 {
            assert_eq!(dead.poll(place as Time), Step::Start(address(place)));
            dead.failed(address(place));
        }
        assert_eq!(dead.poll(3), Step::Lost);
        assert_eq!(dial(0, 0.0, MS).poll(0), Step::Lost);
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 300,
            rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]

        /// Whatever each address does, the dial ends by its deadline, with a connection if any would have been made
        /// in its share of the time, and never with two.
        #[test]
        fn a_dial_ends_in_time_with_one_connection_or_none(
            ends in prop::collection::vec((1..400 * MS, any::<bool>(), any::<bool>()), 0..5),
            usual in 0.0..100_000.0f64,
            time in 20 * MS..1_000 * MS,
        ) {
            let mut dial = Dial::new(0, time, (0..ends.len()).map(|place| (address(place), usual)));
            let (mut now, mut out): (Time, Vec<(Time, usize)>) = (0, Vec::new());
            let (mut won, mut steps) = (0, 0);
            let last = loop {
                steps += 1;
                prop_assert!(steps < 100);
                match dial.poll(now) {
                    Step::Start(address) => {
                        let (after, _, stalls) = ends[address.place];
                        out.push((if stalls { Time::MAX } else { now + after }, address.place));
                    }
                    Step::Wait(until) => {
                        prop_assert!(until > now && until <= time);
                        out.sort_unstable();
                        match out.first().copied().filter(|(at, _)| *at <= until) {
                            Some((at, place)) => {
                                out.remove(0);
                                now = now.max(at);
                                if ends[place].1 {
                                    won += u32::from(dial.connected(address(place)));
                                } else {
                                    dial.failed(address(place));
                                }
                            }
                            None => now = until,
                        }
                    }
                    end => break end,
                }
            };
            prop_assert!(now <= time);
            prop_assert_eq!(won, u32::from(matches!(last, Step::Won(_))));
            let share = time / (ends.len() as Time + 1);
            let would = ends.iter().any(|(after, good, stalls)| *good && !stalls && *after < share);
            prop_assert!(!would || won == 1, "an address that answers within its share was missed");
        }
    }
}
