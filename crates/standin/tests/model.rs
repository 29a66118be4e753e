//! Tests of the engine model in simulated time.

use elderstage_standin::model::{
    BLOCK_TOKENS, Engine, EngineEvent, EngineFault, EngineSpec, Job, JobId, RejectReason, Role, Task,
    block_hashes,
};

const MS: u64 = 1_000;

struct Simulation {
    engine: Engine,
    now: u64,
    events: Vec<(u64, EngineEvent)>,
}

fn spec(role: Role) -> EngineSpec {
    EngineSpec {
        role,
        max_running: 2,
        max_waiting: 2,
        kv_tokens: 10_000,
        prefix_cache_tokens: 4_000,
        read_tokens_per_s: 10_000.0,
        step_time_us: 10 * MS,
        step_time_per_answer_us: MS,
        max_tokens_per_step: 1_000,
        cold_start_share: 0.5,
        cold_duration: 10_000 * MS,
        overload_multiple: 2.0,
        overload_window: 1_000 * MS,
    }
}

fn job(id: u64, task: Task, prompt: u64, answer: u64) -> Job {
    let text: Vec<u8> = (0..prompt * 4).map(|n| (id * 7 + n / 64) as u8).collect();
    Job {
        id: JobId(id),
        task,
        class: "ask".into(),
        block_hashes: block_hashes(&text),
        prompt_tokens: prompt,
        answer_tokens: answer,
    }
}

impl Simulation {
    fn new(spec: EngineSpec, cold: bool) -> Simulation {
        Simulation { engine: Engine::new(spec, 1, cold), now: 1, events: Vec::new() }
    }

    fn record(&mut self, events: Vec<EngineEvent>) -> Vec<EngineEvent> {
        self.events.extend(events.iter().cloned().map(|event| (self.now, event)));
        events
    }

    fn start(&mut self, job: Job) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        self.engine.submit(self.now, job, &mut events);
        self.record(events)
    }

    fn run(&mut self, duration: u64) {
        let end = self.now + duration;
        while let Some(at) = self.engine.next_step_end().filter(|at| *at <= end) {
            self.now = at;
            let mut events = Vec::new();
            self.engine.end_due_step(at, &mut events);
            self.record(events);
        }
        self.now = end;
    }

    fn time_of(&self, predicate: impl Fn(&EngineEvent) -> bool) -> Option<u64> {
        self.events.iter().find(|(_, event)| predicate(event)).map(|(at, _)| *at)
    }

    fn tokens(&self, id: u64) -> Vec<u64> {
        let index_of = |(_, event): &(u64, EngineEvent)| match event {
            EngineEvent::Token { id: found, index } if *found == JobId(id) => Some(*index),
            _ => None,
        };
        self.events.iter().filter_map(index_of).collect()
    }
}

fn read_done(id: u64) -> impl Fn(&EngineEvent) -> bool {
    move |event| matches!(event, EngineEvent::ReadDone { id: found, .. } if *found == JobId(id))
}

#[test]
fn a_reader_reads_prompts_in_order_and_holds_their_states() {
    let mut sim = Simulation::new(spec(Role::Prefill), false);
    sim.start(job(1, Task::Read, 2_000, 0));
    sim.start(job(2, Task::Read, 1_000, 0));
    sim.run(1_000 * MS);
    let (one, two) = (sim.time_of(read_done(1)).unwrap(), sim.time_of(read_done(2)).unwrap());
    assert_eq!(((one - 1) / MS, (two - 1) / MS), (200, 300));
    assert!(sim.engine.holds_state(JobId(1)) && (sim.engine.load().kv_usage - 0.3).abs() < 1e-9);
    assert!(sim.engine.release_state(JobId(1)) && !sim.engine.release_state(JobId(1)));
    // The same prompt sent again is found in the cache, except for the incomplete block at its end.
    let again = Job { id: JobId(3), ..job(1, Task::Read, 2_000, 0) };
    sim.start(again);
    sim.run(1_000 * MS);
    let cached = sim.events.iter().find_map(|(_, event)| match event {
        EngineEvent::ReadDone { id: JobId(3), cached_tokens } => Some(*cached_tokens),
        _ => None,
    });
    assert_eq!(cached, Some(2_000 / BLOCK_TOKENS * BLOCK_TOKENS));
    sim.engine.clear_prefix_cache();
    sim.start(Job { id: JobId(4), ..job(1, Task::Read, 2_000, 0) });
    sim.run(1_000 * MS);
    assert!(
        sim.events
            .iter()
            .any(|(_, event)| *event == EngineEvent::ReadDone { id: JobId(4), cached_tokens: 0 })
    );
}

#[test]
fn a_writer_fetches_the_state_then_writes_each_token_once() {
    let mut sim = Simulation::new(spec(Role::Decode), false);
    assert_eq!(sim.start(job(1, Task::Write, 500, 4)), [EngineEvent::FetchState { id: JobId(1) }]);
    sim.run(50 * MS);
    assert!(sim.tokens(1).is_empty(), "tokens were written before the state arrived");
    let mut events = Vec::new();
    sim.engine.finish_state_fetch(sim.now, JobId(1), true, &mut events);
    sim.run(200 * MS);
    assert_eq!(sim.tokens(1), [0, 1, 2, 3]);
    assert!(sim.time_of(|event| matches!(event, EngineEvent::AnswerDone { .. })).is_some());
    assert_eq!(sim.engine.load().kv_usage, 0.0);
    sim.start(job(2, Task::Write, 500, 4));
    sim.engine.finish_state_fetch(sim.now, JobId(2), false, &mut events);
    assert!(events.contains(&EngineEvent::Rejected { id: JobId(2), reason: RejectReason::NoState }));
}

#[test]
fn requests_that_do_not_fit_are_rejected() {
    let mut sim = Simulation::new(spec(Role::Prefill), false);
    assert_eq!(
        sim.start(job(1, Task::ReadAndWrite, 10, 1)),
        [EngineEvent::Rejected { id: JobId(1), reason: RejectReason::WrongRole }]
    );
    assert_eq!(
        sim.start(job(2, Task::Read, 20_000, 0)),
        [EngineEvent::Rejected { id: JobId(2), reason: RejectReason::Full }]
    );
    for id in 3..7 {
        assert!(sim.start(job(id, Task::Read, 100, 0)).is_empty());
    }
    assert_eq!(
        sim.start(job(7, Task::Read, 100, 0)),
        [EngineEvent::Rejected { id: JobId(7), reason: RejectReason::Full }]
    );
    let load = sim.engine.load();
    assert_eq!((load.running, load.waiting, load.pending_tokens), (2, 2, 400));
}

#[test]
fn a_preempted_answer_is_read_again_and_repeats_no_token() {
    let mut sim = Simulation::new(EngineSpec { kv_tokens: 1_030, ..spec(Role::Mixed) }, false);
    sim.start(job(1, Task::ReadAndWrite, 500, 40));
    sim.run(60 * MS);
    sim.start(job(2, Task::ReadAndWrite, 500, 40));
    sim.run(3_000 * MS);
    for id in [1, 2] {
        assert_eq!(sim.tokens(id), (0..40).collect::<Vec<u64>>(), "answer {id}");
    }
    let done = |id| {
        sim.time_of(
            move |event| matches!(event, EngineEvent::AnswerDone { id: found, .. } if *found == JobId(id)),
        )
        .unwrap()
    };
    assert!(done(2) > done(1) + 20 * 11 * MS, "the newest answer did not wait for memory");
}

#[test]
fn work_resumes_after_an_engine_fault_ends() {
    let mut sim = Simulation::new(spec(Role::Mixed), false);
    sim.engine.set_fault(sim.now, Some(EngineFault::Hang));
    sim.start(job(1, Task::ReadAndWrite, 100, 2));
    sim.run(5_000 * MS);
    assert!(sim.events.is_empty());
    sim.engine.set_fault(sim.now, Some(EngineFault::ClassUnanswered("ask".into())));
    sim.start(Job { class: "order".into(), ..job(2, Task::ReadAndWrite, 100, 2) });
    sim.run(1_000 * MS);
    assert_eq!((sim.tokens(1).len(), sim.tokens(2).len()), (0, 2));
    sim.engine.set_fault(sim.now, Some(EngineFault::Slow(10.0)));
    let begun = sim.now;
    sim.run(5_000 * MS);
    let first = sim.time_of(|event| matches!(event, EngineEvent::Token { id: JobId(1), index: 0 })).unwrap();
    assert_eq!(sim.tokens(1).len(), 2);
    assert!(first - begun > 150 * MS, "the first token came after less than 150 ms, expected a slowdown");
}

#[test]
fn a_cancelled_job_frees_its_slot_and_memory() {
    let mut sim = Simulation::new(spec(Role::Mixed), false);
    for id in 1..4 {
        sim.start(job(id, Task::ReadAndWrite, 3_000, 50));
    }
    let mut events = Vec::new();
    sim.engine.cancel(sim.now, JobId(1), &mut events);
    sim.engine.cancel(sim.now, JobId(9), &mut events);
    assert_eq!((sim.engine.load().running, sim.engine.load().waiting), (2, 0));
    sim.run(10_000 * MS);
    assert!(sim.tokens(1).is_empty() && sim.tokens(3).len() == 50);
    assert_eq!(sim.engine.load().kv_usage, 0.0);
}

#[test]
fn a_cold_engine_is_slow_and_crashes_under_too_much_work() {
    let mut warm = Simulation::new(spec(Role::Prefill), false);
    let mut cold = Simulation::new(spec(Role::Prefill), true);
    for sim in [&mut warm, &mut cold] {
        sim.start(job(1, Task::Read, 1_000, 0));
        sim.run(1_000 * MS);
    }
    let took = |sim: &Simulation| sim.time_of(read_done(1)).unwrap() - 1;
    assert_eq!((took(&warm) / MS, took(&cold) / MS), (100, 200));
    // The engine runs at about 0.55 of its full speed now. With `fall_multiple` 2 it bears 1,100 ms of work
    // per second.
    for id in 2..12 {
        assert!(!cold.start(job(id, Task::Read, 1_000, 0)).contains(&EngineEvent::Crashed), "job {id}");
    }
    let mut crashed = false;
    for id in 12..20 {
        crashed |= cold.start(job(id, Task::Read, 1_000, 0)).contains(&EngineEvent::Crashed);
    }
    assert!(crashed && cold.engine.is_down());
    assert_eq!(
        cold.start(job(30, Task::Read, 10, 0)),
        [EngineEvent::Rejected { id: JobId(30), reason: RejectReason::Down }]
    );
    for id in 2..40 {
        assert!(!warm.start(job(id, Task::Read, 1_000, 0)).contains(&EngineEvent::Crashed));
    }
}
