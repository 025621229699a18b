//! A node gets SIGTERM while calls wait there for a slot at a worker.
//!
//! All slots are held by long calls through the other node. Clients whose connections are open use
//! them in the first seconds after the signal, as long as the node doesn't close them. The node
//! takes these calls, and each of them is owed a complete answer.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::support::{
    ask, has_trouble, start_worker, status, worker_answer, Client, End, Fleet, Handler, Instance,
    Record, Request, Verdict, SERVICE,
};

const WORKERS: u8 = 2;
const SLOTS: usize = 4;
/// Time for which a long call runs at its worker.
const LONG_RUN: Duration = Duration::from_secs(16);
/// Calls that wait.
const WAITING_CALLS: usize = 10;
/// Deadline of these calls, and the timeout of their route, milliseconds.
const DEADLINE_MS: u64 = 8_000;
/// Time from the signal to the first of these calls, and between two of them.
const FIRST_CALL: Duration = Duration::from_millis(600);
const CALL_PAUSE: Duration = Duration::from_millis(150);
/// The rule allows an end without an answer up to this time after the last byte of the request.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Longest time for which a client waits for an answer.
const CLIENT_LIMIT: Duration = Duration::from_secs(12);
const STOPPED: &str = "node-0";

struct Worker {
    id: String,
    running: AtomicUsize,
    record: Record,
}

impl Worker {
    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if request.target == "/health" {
            let extra = format!("X-Instance: {}\r\n", self.id);
            stream.write_all(worker_answer(request, "200 OK", &extra, "").as_bytes())?;
            return Ok(true);
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            let answer = worker_answer(request, "421 Misdirected Request", "X-Not-Run: 1\r\n", "");
            stream.write_all(answer.as_bytes())?;
            return Ok(true);
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.record.note(format!(
                "{} is full, does not run {}",
                self.id,
                request.id()
            ));
            let load = format!("X-Not-Run: 1\r\nX-Server-Load: {SLOTS},0,{SLOTS}\r\n");
            let answer = worker_answer(request, "503 Service Unavailable", &load, "");
            stream.write_all(answer.as_bytes())?;
            return Ok(true);
        }
        self.record
            .note(format!("{} runs {}", self.id, request.id()));
        if request.target.starts_with("/long/") {
            thread::sleep(LONG_RUN);
        }
        let running = self.running.fetch_sub(1, Ordering::SeqCst);
        let extra = format!(
            "X-Server-Stamp: stamp-{}\r\nX-Server-Load: {running},0,{SLOTS}\r\n",
            self.id
        );
        stream.write_all(worker_answer(request, "200 OK", &extra, request.id()).as_bytes())?;
        Ok(true)
    }
}

fn configuration() -> String {
    let route = |name: &str, timeout_ms: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"path_prefix\":\"/{name}/\",\"type\":\"unsafe\",\
             \"timeout_ms\":{timeout_ms},\"slo_ms\":1200,\"priority\":0,\"service\":\"svc\",\"attempts\":1}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"svc\",\"health_path\":\"/health\",\
         \"max_conns\":370,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("long", 30_000),
        route("short", DEADLINE_MS)
    )
}

fn send_short(client: &mut Client, id: &str) -> io::Result<()> {
    let deadline = DEADLINE_MS.to_string();
    let headers = [("X-Request-Id", id), ("X-Deadline-Ms", &deadline)];
    client.send("POST /short/x", &headers, b"body")
}

/// Sends a call on an open connection; returns whether the rule was broken for it.
fn wait_for_answer(mut client: Client, id: &str, record: &Record) -> bool {
    let sent = Instant::now();
    if let Err(error) = send_short(&mut client, id) {
        record.note(format!(
            "{id} not sent, the connection was closed before: {error}"
        ));
        return false;
    }
    record.note(format!("{id} sent on its open connection"));
    let end = client.answer(CLIENT_LIMIT);
    let after = sent.elapsed();
    match end {
        End::Answered(answer) => {
            record.note(format!("{id} answered {} after {after:?}", answer.status));
            false
        }
        End::Cut(error) => {
            record.note(format!(
                "{id} cut without a complete answer after {after:?}: {error}"
            ));
            after > LOSS_SLACK && after < Duration::from_millis(DEADLINE_MS)
        }
        End::TimedOut => {
            record.note(format!("{id} without an answer after {after:?}"));
            true
        }
    }
}

pub fn run(record: &Record) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(2, record)?;
    for number in 1..=WORKERS {
        let id = format!("w{number}");
        let worker = Worker {
            id: id.clone(),
            running: AtomicUsize::new(0),
            record: record.clone(),
        };
        let handler: Arc<Handler> = Arc::new(move |request, stream| worker.answer(request, stream));
        let address = start_worker(&fleet.ip(201), handler)?;
        fleet.list.show(Instance {
            id,
            address,
            slots: SLOTS as u32,
            state: "ready",
            service: SERVICE,
        });
    }
    fleet.put_configuration(&configuration())?;
    fleet.wait_until_ready(2)?;
    let mut clients = Vec::new();
    for number in 0..WAITING_CALLS {
        let mut client = Client::connect(fleet.node(0))?;
        let id = format!("before-{number}");
        send_short(&mut client, &id)?;
        let end = Ok(client.answer(CLIENT_LIMIT));
        record.note(format!("{id} answered {}", status(&end)));
        if status(&end) != 200 {
            return Err(io::Error::other("the fleet does not serve"));
        }
        clients.push(client);
    }
    for number in 0..usize::from(WORKERS) * SLOTS {
        let (address, record) = (fleet.node(1), record.clone());
        thread::spawn(move || {
            let id = format!("long-{number}");
            let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "30000")];
            let end = ask(address, "POST /long/x", &headers, b"body", LONG_RUN * 2);
            record.note(format!("{id} answered {}", status(&end)));
        });
        thread::sleep(Duration::from_millis(30));
    }
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble() {
        fleet.signal(STOPPED, "TERM")?;
    }
    thread::sleep(FIRST_CALL);
    let mut waiting = Vec::new();
    for (number, client) in clients.into_iter().enumerate() {
        let record = record.clone();
        let id = format!("waiting-{number}");
        waiting.push(thread::spawn(move || wait_for_answer(client, &id, &record)));
        thread::sleep(CALL_PAUSE);
    }
    let broken = waiting
        .into_iter()
        .map(|call| call.join().expect("a client"));
    let broken = broken.filter(|broken| *broken).count();
    if has_trouble() {
        record.note(format!("{STOPPED} has ended: {}", fleet.has_ended(STOPPED)));
        for line in fleet.log_lines(STOPPED, "stop") {
            record.note(format!("{STOPPED}: {line}"));
        }
    }
    record.note(format!("{broken} of {WAITING_CALLS} calls broke the rule"));
    Ok(match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
