//! The engine model by itself: batching, preemption, cache and cancel.

use pinerill_rehearse::answer::{block_names, text_digest, Answer};
use pinerill_rehearse::engine::messages::{
    CancelState, EngineEvent, Priority, Refusal, RequestId, RequestState, Submission,
};
use pinerill_rehearse::engine::model::EngineModel;
use pinerill_rehearse::engine::parameters::EngineParameters;

fn parameters(slots: u32, kv_tokens: u32) -> EngineParameters {
    EngineParameters {
        slots,
        kv_tokens,
        ..EngineParameters::default()
    }
}

fn submission(id: &str, priority: Priority, prompt: &str, max_tokens: u32) -> Submission {
    Submission {
        request_id: id.into(),
        priority,
        prompt_tokens: (prompt.len() as u32).div_ceil(4),
        max_tokens,
        continue_from: 0,
        blocks: block_names("m", "", prompt, 64),
        imported_tokens: 0,
    }
}

fn text(name: &str, tokens: usize) -> String {
    name.repeat(tokens * 4).chars().take(tokens * 4).collect()
}

/// Steps until nothing is left to do; returns all events and the end time.
fn run(model: &mut EngineModel, from: u64) -> (Vec<EngineEvent>, u64) {
    let mut now = from;
    let mut events = model.step(now);
    while let Some(at) = model.next_step_at() {
        now = at;
        events.extend(model.step(now));
    }
    (events, now)
}

fn tokens_of(events: &[EngineEvent], id: &str) -> Vec<u32> {
    let of_request = events.iter().filter_map(|event| match event {
        EngineEvent::Token {
            request_id,
            generated,
        } if &**request_id == id => Some(*generated),
        _ => None,
    });
    of_request.collect()
}

fn position(events: &[EngineEvent], wanted: impl Fn(&EngineEvent) -> bool) -> usize {
    events.iter().position(wanted).expect("event is there")
}

fn finished(id: &'static str) -> impl Fn(&EngineEvent) -> bool {
    move |event| matches!(event, EngineEvent::Finished { request_id, .. } if &**request_id == id)
}

#[test]
fn a_request_costs_its_prefill_and_its_decode_steps() {
    let mut model = EngineModel::new(parameters(4, 65_536));
    let prompt = text("a", 1_600);
    model
        .submit(0, submission("r", Priority::Online, &prompt, 5))
        .expect("is taken");
    let (events, end) = run(&mut model, 0);
    assert_eq!(tokens_of(&events, "r"), vec![1, 2, 3, 4, 5]);
    // 1600 tokens at 16000 a second, then four steps of one request.
    assert_eq!(end, 100_000 + 4 * 24_125);
    assert!(model.is_idle());
}

#[test]
fn online_preempts_batch_at_the_next_step_and_batch_resumes_without_loss() {
    let mut model = EngineModel::new(parameters(1, 65_536));
    model
        .submit(0, submission("b", Priority::Batch, &text("b", 64), 20))
        .expect("is taken");
    let mut events = model.step(0);
    let now = model.next_step_at().expect("a step runs");
    events.extend(model.step(now));
    model
        .submit(
            now + 1,
            submission("o", Priority::Online, &text("o", 64), 3),
        )
        .expect("is taken");
    let (rest, _) = run(&mut model, now + 1);
    events.extend(rest);
    let preempted = EngineEvent::Preempted {
        request_id: "b".into(),
        keeps_kv: true,
    };
    assert!(events.contains(&preempted));
    assert!(position(&events, finished("o")) < position(&events, finished("b")));
    assert_eq!(tokens_of(&events, "b"), (1..=20).collect::<Vec<_>>());
    let finish = &events[position(&events, finished("b"))];
    assert!(matches!(
        finish,
        EngineEvent::Finished {
            recomputed_tokens: 0,
            ..
        }
    ));
}

#[test]
fn batch_that_lost_its_kv_cache_prefills_again() {
    let mut model = EngineModel::new(EngineParameters {
        preemption_drops_kv: true,
        ..parameters(1, 65_536)
    });
    model
        .submit(0, submission("b", Priority::Batch, &text("b", 100), 20))
        .expect("is taken");
    let mut events = model.step(0);
    let now = model.next_step_at().expect("a step runs");
    events.extend(model.step(now));
    model
        .submit(now, submission("o", Priority::Online, &text("o", 8), 2))
        .expect("is taken");
    events.extend(run(&mut model, now).0);
    assert_eq!(tokens_of(&events, "b"), (1..=20).collect::<Vec<_>>());
    // The whole block of 64 is still cached; two tokens are out at the preemption.
    let finish = EngineEvent::Finished {
        request_id: "b".into(),
        recomputed_tokens: 100 + 2 - 64,
    };
    assert!(events.contains(&finish));
}

#[test]
fn batch_never_starts_before_waiting_online() {
    let mut model = EngineModel::new(parameters(1, 65_536));
    for (id, priority) in [
        ("b1", Priority::Batch),
        ("o1", Priority::Online),
        ("o2", Priority::Online),
    ] {
        model
            .submit(0, submission(id, priority, &text(id, 8), 2))
            .expect("is taken");
    }
    let (events, _) = run(&mut model, 0);
    assert!(position(&events, finished("o1")) < position(&events, finished("o2")));
    assert!(position(&events, finished("o2")) < position(&events, finished("b1")));
}

#[test]
fn an_identifier_never_runs_twice() {
    let mut model = EngineModel::new(parameters(2, 65_536));
    let request = submission("r", Priority::Online, &text("r", 8), 2);
    model.submit(0, request.clone()).expect("is taken");
    let again = model.submit(0, request.clone());
    assert_eq!(again, Err(Refusal::DuplicateRequest));
    let (_, end) = run(&mut model, 0);
    let after_the_end = model.submit(end, request);
    assert_eq!(after_the_end, Err(Refusal::DuplicateRequest));
}

#[test]
fn cancel_before_the_start_is_not_started() {
    let mut model = EngineModel::new(parameters(1, 65_536));
    let waiting: RequestId = "waits".into();
    for id in ["runs", "waits"] {
        model
            .submit(0, submission(id, Priority::Online, &text(id, 8), 2))
            .expect("is taken");
    }
    let mut events = model.step(0);
    assert_eq!(model.cancel(1, &waiting).0, CancelState::NotStarted);
    assert_eq!(model.cancel(2, &waiting).0, CancelState::NotStarted);
    events.extend(run(&mut model, 2).0);
    let starts = |event: &EngineEvent| matches!(event, EngineEvent::Started { request_id, .. } if *request_id == waiting);
    assert!(!events.iter().any(starts));
    assert_eq!(model.cancel(3, &"runs".into()).0, CancelState::Finished);
}

#[test]
fn a_cancel_that_comes_first_is_remembered_for_a_while() {
    let mut model = EngineModel::new(parameters(1, 65_536));
    assert_eq!(model.cancel(0, &"early".into()).0, CancelState::Unknown);
    assert_eq!(model.cancel(0, &"forgotten".into()).0, CancelState::Unknown);
    let early = submission("early", Priority::Online, "p", 1);
    let refusal = model.submit(9_000_000, early);
    assert_eq!(refusal, Err(Refusal::CancelledBeforeStart));
    let forgotten = submission("forgotten", Priority::Online, "p", 1);
    assert_eq!(model.submit(10_000_001, forgotten), Ok(()));
}

#[test]
fn a_continued_answer_starts_at_its_offset() {
    let mut model = EngineModel::new(parameters(1, 65_536));
    let mut request = submission("r", Priority::Online, &text("r", 8), 6);
    request.continue_from = 4;
    model.submit(0, request).expect("is taken");
    let (events, end) = run(&mut model, 0);
    assert_eq!(tokens_of(&events, "r"), vec![5, 6]);
    // Prefill of 8 prompt and 4 delivered tokens, then one decode step.
    assert_eq!(end, 12 * 1_000_000 / 16_000 + 24_125);
}

#[test]
fn a_paused_request_goes_on_where_it_was() {
    let mut model = EngineModel::new(parameters(1, 65_536));
    let id: RequestId = "b".into();
    model
        .submit(0, submission("b", Priority::Batch, &text("b", 8), 4))
        .expect("is taken");
    model.step(0);
    let now = model.next_step_at().expect("a step runs");
    let mut events = model.step(now);
    assert_eq!(model.pause(&id), RequestState::Paused);
    let (while_paused, now) = run(&mut model, now);
    assert!(tokens_of(&while_paused, "b").is_empty());
    assert_eq!(model.load().batch_paused, 1);
    model.unpause(&id);
    events.extend(run(&mut model, now).0);
    assert_eq!(tokens_of(&events, "b"), vec![1, 2, 3, 4]);
}

#[test]
fn the_prefix_cache_hits_and_evicts_the_least_recently_used() {
    // Room for three prompts of one block with an answer's block each.
    let mut model = EngineModel::new(parameters(1, 64 * 4));
    let mut now = 0;
    let mut cached = Vec::new();
    let mut evicted = Vec::new();
    for (id, name) in [
        ("1", "a"),
        ("2", "b"),
        ("3", "a"),
        ("4", "c"),
        ("5", "d"),
        ("6", "a"),
        ("7", "b"),
    ] {
        let prompt = text(name, 72);
        model
            .submit(now, submission(id, Priority::Online, &prompt, 2))
            .expect("is taken");
        let (events, end) = run(&mut model, now);
        now = end;
        for event in events {
            match event {
                EngineEvent::Started { cached_tokens, .. } => cached.push(cached_tokens),
                EngineEvent::Evicted { block, .. } => evicted.push(block),
                _ => {}
            }
        }
    }
    assert_eq!(cached, vec![0, 0, 64, 0, 0, 64, 0]);
    let block = |name: &str| block_names("m", "", &text(name, 72), 64)[0];
    assert_eq!(evicted[0], block("b"));
    assert!(model.load().kv_used <= model.load().kv_total);
}

#[test]
fn a_request_that_never_fits_is_refused() {
    let mut model = EngineModel::new(parameters(1, 128));
    let request = submission("r", Priority::Online, &text("r", 100), 64);
    assert_eq!(model.submit(0, request), Err(Refusal::TooLarge));
}

#[test]
fn online_takes_memory_from_batch() {
    let mut model = EngineModel::new(parameters(4, 256));
    model
        .submit(0, submission("b", Priority::Batch, &text("b", 150), 40))
        .expect("is taken");
    let mut events = model.step(0);
    model
        .submit(1, submission("o", Priority::Online, &text("o", 100), 4))
        .expect("is taken");
    events.extend(run(&mut model, 1).0);
    let preempted = EngineEvent::Preempted {
        request_id: "b".into(),
        keeps_kv: false,
    };
    assert!(events.contains(&preempted));
    assert_eq!(tokens_of(&events, "b").len(), 40);
}

#[test]
fn the_digest_is_that_of_the_whole_text_and_differs_by_request() {
    let answer = Answer::new("m@2", "", "a prompt");
    let whole = answer.text(0, 9);
    assert_eq!(whole, format!("{}{}", answer.text(0, 4), answer.text(4, 9)));
    assert_eq!(answer.digest(9), text_digest(&whole));
    assert_eq!(answer.digest(9), Answer::new("m", "", "a prompt").digest(9));
    assert_ne!(
        answer.digest(9),
        Answer::new("m", "x", "a prompt").digest(9)
    );
    assert_ne!(answer.digest(9), answer.digest(8));
}
