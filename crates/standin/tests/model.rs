//! The engine model in simulated time.

use elderstage_standin::model::{Ail, BLOCK_TOKENS, Engine, Job, JobId, Out, Role, Spec, Task, Why, blocks};

const MS: u64 = 1_000;

struct Bench {
    engine: Engine,
    now: u64,
    outs: Vec<(u64, Out)>,
}

fn spec(role: Role) -> Spec {
    Spec {
        role,
        slots: 2,
        queue: 2,
        kv_tokens: 10_000,
        kept_tokens: 4_000,
        read_per_s: 10_000.0,
        step: 10 * MS,
        step_per_answer: MS,
        chunk: 1_000,
        cold_from: 0.5,
        cold_for: 10_000 * MS,
        fall_multiple: 2.0,
        tip_after: 1_000 * MS,
    }
}

fn job(id: u64, task: Task, prompt: u64, answer: u64) -> Job {
    let text: Vec<u8> = (0..prompt * 4).map(|n| (id * 7 + n / 64) as u8).collect();
    Job { id: JobId(id), task, class: "ask".into(), blocks: blocks(&text), prompt, answer }
}

impl Bench {
    fn new(spec: Spec, cold: bool) -> Bench {
        Bench { engine: Engine::new(spec, 1, cold), now: 1, outs: Vec::new() }
    }

    fn take(&mut self, outs: Vec<Out>) -> Vec<Out> {
        self.outs.extend(outs.iter().cloned().map(|out| (self.now, out)));
        outs
    }

    fn start(&mut self, job: Job) -> Vec<Out> {
        let mut outs = Vec::new();
        self.engine.start(self.now, job, &mut outs);
        self.take(outs)
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= end) {
            self.now = at;
            let mut outs = Vec::new();
            self.engine.wake(at, &mut outs);
            self.take(outs);
        }
        self.now = end;
    }

    fn when(&self, is: impl Fn(&Out) -> bool) -> Option<u64> {
        self.outs.iter().find(|(_, out)| is(out)).map(|(at, _)| *at)
    }

    fn tokens(&self, id: u64) -> Vec<u64> {
        let of = |(_, out): &(u64, Out)| match out {
            Out::Token { id: of, index } if *of == JobId(id) => Some(*index),
            _ => None,
        };
        self.outs.iter().filter_map(of).collect()
    }
}

fn read_done(id: u64) -> impl Fn(&Out) -> bool {
    move |out| matches!(out, Out::ReadDone { id: of, .. } if *of == JobId(id))
}

#[test]
fn a_reader_reads_one_prompt_after_the_other_and_keeps_what_it_read() {
    let mut bench = Bench::new(spec(Role::Prefill), false);
    bench.start(job(1, Task::Read, 2_000, 0));
    bench.start(job(2, Task::Read, 1_000, 0));
    bench.run(1_000 * MS);
    let (one, two) = (bench.when(read_done(1)).unwrap(), bench.when(read_done(2)).unwrap());
    assert_eq!(((one - 1) / MS, (two - 1) / MS), (200, 300));
    assert!(bench.engine.holds_state(JobId(1)) && (bench.engine.load().kv - 0.3).abs() < 1e-9);
    assert!(bench.engine.let_go(JobId(1)) && !bench.engine.let_go(JobId(1)));
    // The same prompt again is found, but for its last part of a block.
    let again = Job { id: JobId(3), ..job(1, Task::Read, 2_000, 0) };
    bench.start(again);
    bench.run(1_000 * MS);
    let cached = bench.outs.iter().find_map(|(_, out)| match out {
        Out::ReadDone { id: JobId(3), cached } => Some(*cached),
        _ => None,
    });
    assert_eq!(cached, Some(2_000 / BLOCK_TOKENS * BLOCK_TOKENS));
    bench.engine.flush();
    bench.start(Job { id: JobId(4), ..job(1, Task::Read, 2_000, 0) });
    bench.run(1_000 * MS);
    assert!(bench.outs.iter().any(|(_, out)| *out == Out::ReadDone { id: JobId(4), cached: 0 }));
}

#[test]
fn a_writer_fetches_then_writes_each_token_once() {
    let mut bench = Bench::new(spec(Role::Decode), false);
    assert_eq!(bench.start(job(1, Task::Write, 500, 4)), [Out::Fetch { id: JobId(1) }]);
    bench.run(50 * MS);
    assert!(bench.tokens(1).is_empty(), "nothing is written before the state is there");
    let mut outs = Vec::new();
    bench.engine.fetched(bench.now, JobId(1), true, &mut outs);
    bench.run(200 * MS);
    assert_eq!(bench.tokens(1), [0, 1, 2, 3]);
    assert!(bench.when(|out| matches!(out, Out::Done { .. })).is_some());
    assert_eq!(bench.engine.load().kv, 0.0);
    bench.start(job(2, Task::Write, 500, 4));
    bench.engine.fetched(bench.now, JobId(2), false, &mut outs);
    assert!(outs.contains(&Out::Rejected { id: JobId(2), why: Why::NoState }));
}

#[test]
fn what_does_not_fit_is_turned_away() {
    let mut bench = Bench::new(spec(Role::Prefill), false);
    assert_eq!(bench.start(job(1, Task::Whole, 10, 1)), [Out::Rejected { id: JobId(1), why: Why::Role }]);
    assert_eq!(bench.start(job(2, Task::Read, 20_000, 0)), [Out::Rejected { id: JobId(2), why: Why::Full }]);
    for id in 3..7 {
        assert!(bench.start(job(id, Task::Read, 100, 0)).is_empty());
    }
    assert_eq!(bench.start(job(7, Task::Read, 100, 0)), [Out::Rejected { id: JobId(7), why: Why::Full }]);
    let load = bench.engine.load();
    assert_eq!((load.running, load.waiting, load.pending), (2, 2, 400));
}

#[test]
fn when_memory_runs_out_the_newest_answer_is_read_anew_and_repeats_nothing() {
    let mut bench = Bench::new(Spec { kv_tokens: 1_030, ..spec(Role::Mixed) }, false);
    bench.start(job(1, Task::Whole, 500, 40));
    bench.run(60 * MS);
    bench.start(job(2, Task::Whole, 500, 40));
    bench.run(3_000 * MS);
    for id in [1, 2] {
        assert_eq!(bench.tokens(id), (0..40).collect::<Vec<u64>>(), "answer {id}");
    }
    let done =
        |id| bench.when(move |out| matches!(out, Out::Done { id: of, .. } if *of == JobId(id))).unwrap();
    assert!(done(2) > done(1) + 20 * 11 * MS, "the newest waited for memory");
}

#[test]
fn ailments_hold_work_and_let_it_go_on() {
    let mut bench = Bench::new(spec(Role::Mixed), false);
    bench.engine.ail(bench.now, Some(Ail::Hang));
    bench.start(job(1, Task::Whole, 100, 2));
    bench.run(5_000 * MS);
    assert!(bench.outs.is_empty());
    bench.engine.ail(bench.now, Some(Ail::ClassUnanswered("ask".into())));
    bench.start(Job { class: "order".into(), ..job(2, Task::Whole, 100, 2) });
    bench.run(1_000 * MS);
    assert_eq!((bench.tokens(1).len(), bench.tokens(2).len()), (0, 2));
    bench.engine.ail(bench.now, Some(Ail::Slow(10.0)));
    let begun = bench.now;
    bench.run(5_000 * MS);
    let first = bench.when(|out| matches!(out, Out::Token { id: JobId(1), index: 0 })).unwrap();
    assert_eq!(bench.tokens(1).len(), 2);
    assert!(first - begun > 150 * MS, "slowed");
}

#[test]
fn a_cancelled_job_frees_its_place_and_memory() {
    let mut bench = Bench::new(spec(Role::Mixed), false);
    for id in 1..4 {
        bench.start(job(id, Task::Whole, 3_000, 50));
    }
    let mut outs = Vec::new();
    bench.engine.cancel(bench.now, JobId(1), &mut outs);
    bench.engine.cancel(bench.now, JobId(9), &mut outs);
    assert_eq!((bench.engine.load().running, bench.engine.load().waiting), (2, 0));
    bench.run(10_000 * MS);
    assert!(bench.tokens(1).is_empty() && bench.tokens(3).len() == 50);
    assert_eq!(bench.engine.load().kv, 0.0);
}

#[test]
fn a_cold_engine_is_slow_and_falls_over_when_it_is_sent_too_much() {
    let mut warm = Bench::new(spec(Role::Prefill), false);
    let mut cold = Bench::new(spec(Role::Prefill), true);
    for bench in [&mut warm, &mut cold] {
        bench.start(job(1, Task::Read, 1_000, 0));
        bench.run(1_000 * MS);
    }
    let took = |bench: &Bench| bench.when(read_done(1)).unwrap() - 1;
    assert_eq!((took(&warm) / MS, took(&cold) / MS), (100, 200));
    // It can do about 0.55 of its work now: twice that is 1,100 ms of work in a second.
    for id in 2..12 {
        assert!(!cold.start(job(id, Task::Read, 1_000, 0)).contains(&Out::FellOver), "job {id}");
    }
    let mut fell = false;
    for id in 12..20 {
        fell |= cold.start(job(id, Task::Read, 1_000, 0)).contains(&Out::FellOver);
    }
    assert!(fell && cold.engine.is_down());
    assert_eq!(cold.start(job(30, Task::Read, 10, 0)), [Out::Rejected { id: JobId(30), why: Why::Down }]);
    for id in 2..40 {
        assert!(!warm.start(job(id, Task::Read, 1_000, 0)).contains(&Out::FellOver));
    }
}
