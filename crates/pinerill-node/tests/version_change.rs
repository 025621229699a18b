//! Guards against failed requests and mixed answers while engines change from one
//! version of a model to the next.

mod support;

use std::sync::Arc;

use serde_json::{json, Value};
use support::worker::{text, FakeWorker};
use support::{bundle, line, until, FakeControl, TestNode, KEY};

/// Model version that the workers have loaded at the start.
const OLD: &str = "fanar-8b@1";
/// Model version of the bundle in force.
const NEW: &str = "fanar-8b@2";
const WORKERS: usize = 4;
/// Enough requests that random routing does not miss a worker by chance.
const REQUESTS: usize = 24;

struct Fixture {
    node: TestNode,
    workers: Vec<FakeWorker>,
}

impl Fixture {
    /// Starts workers that have the old version loaded and a node whose bundle
    /// names the new one.
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

    /// Waits until the node has applied a report that each worker made after this
    /// call. Reports of a worker are polled one at a time, so a second poll shows
    /// that the first report was applied.
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

    async fn set_models(&self, worker: usize, models: &[&str]) {
        let models = models.iter().map(|one| (*one).to_owned()).collect();
        self.workers[worker].change(|model| model.models = models);
        self.await_reports().await;
    }

    async fn complete(&self) -> (u16, Value) {
        let body = json!({"model": "fanar", "prompt": "crew", "max_tokens": 2});
        let request = self.node.http.post(self.node.url("/v1/completions"));
        support::answer(request.bearer_auth(KEY).json(&body)).await
    }

    /// Sends [`REQUESTS`] requests, which must all succeed, and returns how many
    /// ran on the old and on the new version.
    async fn count_requests_by_version(&self) -> [usize; 2] {
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
async fn the_old_version_serves_until_half_of_the_engines_have_the_new_version() {
    let fixture = Fixture::start().await;
    assert_eq!(
        fixture.count_requests_by_version().await,
        [REQUESTS, 0],
        "no engine has the new version"
    );
    fixture.set_models(0, &[OLD, NEW]).await;
    let [old, new] = fixture.count_requests_by_version().await;
    assert!(
        old > 0 && new > 0,
        "with one engine of four both versions serve: {old} old and {new} new"
    );
    fixture.set_models(1, &[NEW]).await;
    assert_eq!(
        fixture.count_requests_by_version().await,
        [0, REQUESTS],
        "half of the engines have the new version"
    );
}

#[tokio::test]
async fn the_old_version_serves_again_when_workers_with_the_new_version_leave() {
    let fixture = Fixture::start().await;
    fixture.set_models(0, &[NEW]).await;
    fixture.set_models(1, &[NEW]).await;
    fixture.workers[0].change(|model| model.leaving = true);
    fixture.workers[1].change(|model| model.leaving = true);
    assert_eq!(fixture.count_requests_by_version().await, [REQUESTS, 0]);
}

#[tokio::test]
async fn a_model_unloaded_between_two_reports_fails_no_request() {
    let fixture = Fixture::start().await;
    fixture.set_models(0, &[NEW]).await;
    for worker in &fixture.workers[1..] {
        worker.change(|model| (model.models, model.frozen_report) = (vec![NEW.to_owned()], true));
    }
    assert_eq!(fixture.count_requests_by_version().await, [0, REQUESTS]);
}

#[tokio::test]
async fn an_engine_that_refused_for_its_role_gets_no_more_requests() {
    let (changed, other) = (
        FakeWorker::start("changed", 1).await,
        FakeWorker::start("other", 1).await,
    );
    let control = Arc::new(FakeControl::new(bundle()));
    control.list_workers(vec![changed.record(), other.record()]);
    // With this poll interval only the first report arrives during the test, so
    // the node learns the new role from the refusal alone.
    let node = TestNode::start_with(control, |settings| settings.report_poll_ms = 600_000).await;
    let workers = [changed, other];
    let fixture = Fixture {
        node,
        workers: workers.into(),
    };
    until_each_worker_has_a_request(&fixture).await;
    let changed = &fixture.workers[0];
    changed.change(|model| model.refusal = Some((503, "wrong_role")));
    let before = changed.model.lock().arrivals.len();
    for _ in 0..REQUESTS {
        assert_eq!(fixture.complete().await.0, 200);
    }
    let received = changed.model.lock().arrivals.len() - before;
    assert_eq!(
        received, 1,
        "only one request reaches the engine after its role changed"
    );
}

/// Sends requests until each worker has received one, which shows that the node
/// has a report of both.
async fn until_each_worker_has_a_request(fixture: &Fixture) {
    let has_request = |worker: &FakeWorker| !worker.model.lock().arrivals.is_empty();
    while !fixture.workers.iter().all(has_request) {
        fixture.complete().await;
    }
}

#[tokio::test]
async fn an_answer_is_not_continued_by_another_model_version() {
    let fixture = Fixture::start().await;
    fixture.set_models(0, &[NEW]).await;
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
async fn batch_items_run_on_the_model_version_that_an_engine_has_loaded() {
    let fixture = Fixture::start().await;
    fixture
        .node
        .submit("k", line("a", "p") + &line("b", "q"))
        .await;
    let jobs = &fixture.node.control.jobs;
    let completed = pinerill_types::job::ItemState::Completed;
    until("both complete", || jobs.lock().count(completed) == 2).await;
}
