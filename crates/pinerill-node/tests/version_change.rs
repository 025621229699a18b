//! Requests while engines go from one version of a model to the next.

mod support;

use std::sync::Arc;

use serde_json::{json, Value};
use support::worker::{text, FakeWorker};
use support::{bundle, line, until, FakeControl, TestNode, KEY};

const OLD: &str = "fanar-8b@1";
const NEW: &str = "fanar-8b@2";
const WORKERS: usize = 4;
/// More than would miss a worker by chance: choices are random.
const REQUESTS: usize = 24;

struct Fixture {
    node: TestNode,
    workers: Vec<FakeWorker>,
}

impl Fixture {
    /// Workers that hold the old version while the bundle wants the new one.
    async fn start() -> Self {
        let control = Arc::new(FakeControl::new(bundle()));
        let mut workers = Vec::new();
        for number in 0..WORKERS {
            workers.push(FakeWorker::start(&format!("worker-{number}"), 1).await);
        }
        control.list_workers(workers.iter().map(FakeWorker::record).collect());
        let node = TestNode::start(control).await;
        let mut next = bundle();
        next.version = 2;
        let model = next.models.get_mut(&"fanar-8b".into()).expect("a model");
        model.version = "2".to_owned();
        *node.control.bundle.lock() = next;
        node.until_metric("bundle_version", |value| value >= 2.0)
            .await;
        let fixture = Self { node, workers };
        fixture.await_reports().await;
        fixture
    }

    /// Waits until the node has had a report of every worker that was made
    /// after this call.
    async fn await_reports(&self) {
        let seen: Vec<u32> = self
            .workers
            .iter()
            .map(|one| one.model.lock().reports)
            .collect();
        for (worker, seen) in self.workers.iter().zip(seen) {
            until("two more reports", || {
                worker.model.lock().reports >= seen + 2
            })
            .await;
        }
    }

    async fn hold(&self, worker: usize, models: &[&str]) {
        let models = models.iter().map(|one| (*one).to_owned()).collect();
        self.workers[worker].change(|model| model.models = models);
        self.await_reports().await;
    }

    async fn complete(&self) -> (u16, Value) {
        let body = json!({"model": "fanar", "prompt": "crew", "max_tokens": 2});
        let request = self.node.http.post(self.node.url("/v1/completions"));
        support::answer(request.bearer_auth(KEY).json(&body)).await
    }

    /// Sends requests, all of which succeed; how many came under each version.
    async fn load(&self) -> [usize; 2] {
        self.workers
            .iter()
            .for_each(|worker| worker.change(|model| model.came.clear()));
        for _ in 0..REQUESTS {
            let (status, body) = self.complete().await;
            assert_eq!(
                (status, body["choices"][0]["text"].as_str()),
                (200, Some(&*text("crew", 2)))
            );
        }
        [OLD, NEW].map(|version| {
            let counts = self.workers.iter().map(|worker| {
                let model = worker.model.lock();
                model
                    .came
                    .values()
                    .filter(|one| one.model == version)
                    .count()
            });
            counts.sum()
        })
    }
}

#[tokio::test]
async fn the_old_version_serves_until_half_of_the_engines_have_the_new_one() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.load().await, [REQUESTS, 0], "none has the new one");
    fixture.hold(0, &[OLD, NEW]).await;
    let [old, new] = fixture.load().await;
    assert!(
        old > 0 && new > 0,
        "one of four: both serve, {old} and {new}"
    );
    fixture.hold(1, &[NEW]).await;
    assert_eq!(fixture.load().await, [0, REQUESTS], "half have it");
}

#[tokio::test]
async fn the_old_version_serves_again_when_those_with_the_new_one_leave() {
    let fixture = Fixture::start().await;
    fixture.hold(0, &[NEW]).await;
    fixture.hold(1, &[NEW]).await;
    fixture.workers[0].change(|model| model.leaving = true);
    fixture.workers[1].change(|model| model.leaving = true);
    assert_eq!(fixture.load().await, [REQUESTS, 0]);
}

#[tokio::test]
async fn a_model_unloaded_between_two_reports_costs_no_request() {
    let fixture = Fixture::start().await;
    fixture.hold(0, &[NEW]).await;
    for worker in &fixture.workers[1..] {
        worker.change(|model| (model.models, model.frozen_report) = (vec![NEW.to_owned()], true));
    }
    assert_eq!(fixture.load().await, [0, REQUESTS]);
}

#[tokio::test]
async fn an_engine_that_refuses_for_its_new_role_is_not_asked_again() {
    let (changed, other) = (
        FakeWorker::start("changed", 1).await,
        FakeWorker::start("other", 1).await,
    );
    let control = Arc::new(FakeControl::new(bundle()));
    control.list_workers(vec![changed.record(), other.record()]);
    // Only the first report comes within the test.
    let node = TestNode::start_with(control, |settings| settings.report_poll_ms = 600_000).await;
    let workers = [changed, other];
    let fixture = Fixture {
        node,
        workers: workers.into(),
    };
    until_both_are_asked(&fixture).await;
    let changed = &fixture.workers[0];
    changed.change(|model| model.refusal = Some((503, "wrong_role")));
    let before = changed.model.lock().arrivals.len();
    for _ in 0..REQUESTS {
        assert_eq!(fixture.complete().await.0, 200);
    }
    let met = changed.model.lock().arrivals.len() - before;
    assert_eq!(met, 1, "only the first one met it");
}

/// The node knows what both hold.
async fn until_both_are_asked(fixture: &Fixture) {
    let asked = |worker: &FakeWorker| !worker.model.lock().arrivals.is_empty();
    while !fixture.workers.iter().all(asked) {
        fixture.complete().await;
    }
}

#[tokio::test]
async fn an_answer_begun_by_one_version_does_not_go_on_with_another() {
    let fixture = Fixture::start().await;
    fixture.hold(0, &[NEW]).await;
    let all = &fixture.workers;
    all.iter()
        .for_each(|worker| worker.change(|model| model.hold_after = Some(1)));
    let (begun, answer) = loop {
        let body = json!({"model": "fanar", "prompt": "crew", "max_tokens": 2, "stream": true});
        let request = fixture.node.http.post(fixture.node.url("/v1/completions"));
        let request = request.bearer_auth(KEY).json(&body);
        let answer = request.send().await.expect("a stream");
        if all[0].model.lock().came.len() == 1 {
            break (&all[0], answer);
        }
    };
    begun.change(|model| (model.forgetful, model.leaving, model.cuts) = (true, true, 1));
    all.iter()
        .for_each(|worker| worker.change(|model| model.hold_after = None));
    let stream = answer.text().await.expect("a stream");
    let last = stream.trim_end().lines().last().expect("an event");
    assert!(
        last.contains("\"no_backend\"") && last.contains("\"unknown\""),
        "{last}"
    );
}

#[tokio::test]
async fn batch_items_run_under_the_version_that_an_engine_holds() {
    let fixture = Fixture::start().await;
    fixture
        .node
        .submit("k", line("a", "p") + &line("b", "q"))
        .await;
    let jobs = &fixture.node.control.jobs;
    let completed = pinerill_types::job::ItemState::Completed;
    until("both complete", || jobs.lock().count(completed) == 2).await;
}
