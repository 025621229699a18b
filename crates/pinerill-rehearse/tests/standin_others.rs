//! Platform list, weight store, old script and relay, as processes.

mod common;

use std::time::{Duration, Instant};

use common::start_standin;
use pinerill_rehearse::answer::Answer;
use pinerill_rehearse::fleet::ports::free_addresses;
use reqwest::Client;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn the_platform_list_lags() {
    let folder = tempfile::tempdir().expect("folder");
    let address = free_addresses(1).expect("ports")[0];
    let listen = address.to_string();
    let arguments = ["platform", "--listen", &listen, "--lag-ms", "400"];
    let _process = start_standin(folder.path(), address, &arguments).await;
    let client = Client::new();
    let machine = json!({"name": "w", "kind": "worker", "address": "127.0.0.1:1",
        "zone": "z", "engines": 5, "state": "live"});
    let put = client
        .put(format!("http://{address}/machines/w"))
        .json(&machine);
    assert_eq!(put.send().await.expect("answers").status(), 204);
    let early = client.get(format!("http://{address}/machines?after=0&wait_ms=50"));
    assert_eq!(early.send().await.expect("answers").status(), 304);
    // Far longer than the timeout: the change itself must wake the reader.
    let late = client.get(format!("http://{address}/machines?after=0&wait_ms=600000"));
    let late = late.timeout(Duration::from_secs(60));
    let late: Value = late
        .send()
        .await
        .expect("answers")
        .json()
        .await
        .expect("JSON");
    assert_eq!(late, json!({"revision": 1, "machines": [machine]}));
}

#[tokio::test]
async fn the_weight_store_keeps_its_rate() {
    let folder = tempfile::tempdir().expect("folder");
    let address = free_addresses(1).expect("ports")[0];
    let listen = address.to_string();
    let mut arguments = vec!["weights", "--listen", &listen, "--fetches", "1"];
    arguments.extend(["--body-bytes", "200000", "--bytes-per-second", "400000"]);
    let _process = start_standin(folder.path(), address, &arguments).await;
    let client = Client::new();
    let url = format!("http://{address}/weights/fanar-8b/1");
    let begin = Instant::now();
    let first = client.get(&url).send().await.expect("answers");
    let second = client.get(&url).send().await.expect("answers");
    assert_eq!(second.status(), 429);
    assert!(second.headers().contains_key("Retry-After"));
    assert_eq!(first.bytes().await.expect("body").len(), 200_000);
    assert!(begin.elapsed() >= Duration::from_millis(450));
    let usage = client.get(format!("http://{address}/usage")).send().await;
    let usage: Value = usage.expect("answers").json().await.expect("JSON");
    assert_eq!(
        usage,
        json!({"fetches": 1, "refused": 1, "most_at_once": 1})
    );
}

#[tokio::test]
async fn the_old_script_answers_whole_and_streamed() {
    let folder = tempfile::tempdir().expect("folder");
    let address = free_addresses(1).expect("ports")[0];
    let listen = address.to_string();
    let arguments = ["script", "--listen", &listen, "--token-ms", "5"];
    let _process = start_standin(folder.path(), address, &arguments).await;
    let client = Client::new();
    let answer = Answer::new("m", "", "p").text(0, 4);
    let mut body = json!({"model": "m", "prompt": "p", "max_tokens": 4});
    let url = format!("http://{address}/v1/completions");
    let whole = client.post(&url).json(&body).send().await.expect("answers");
    let whole: Value = whole.json().await.expect("JSON");
    assert_eq!(whole["choices"][0]["text"], answer);
    body["stream"] = json!(true);
    let streamed = client.post(&url).json(&body).send().await.expect("answers");
    let streamed = streamed.text().await.expect("body");
    assert!(streamed.ends_with("data: [DONE]\n\n"));
    let text: String = common::events(&streamed)
        .iter()
        .filter_map(|chunk| chunk["choices"][0]["text"].as_str())
        .collect();
    assert_eq!(text, answer);
}

/// Echoes all connections of a listener.
async fn echo(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let (mut read, mut write) = stream.into_split();
            let _ = tokio::io::copy(&mut read, &mut write).await;
        });
    }
}

/// Sends one byte and waits for its echo.
async fn round_trip(stream: &mut TcpStream) -> Option<Duration> {
    let begin = Instant::now();
    stream.write_all(b"x").await.ok()?;
    let mut byte = [0];
    let read = stream.read_exact(&mut byte);
    let answered = tokio::time::timeout(Duration::from_millis(500), read).await;
    matches!(answered, Ok(Ok(_))).then(|| begin.elapsed())
}

#[tokio::test]
async fn the_relay_delays_cuts_and_freezes() {
    let folder = tempfile::tempdir().expect("folder");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let target = listener.local_addr().expect("address");
    tokio::spawn(echo(listener));
    let addresses = free_addresses(2).expect("ports");
    let (admin, entry) = (addresses[0], addresses[1]);
    let (admin_text, link) = (admin.to_string(), format!("a-b={entry},{target}"));
    let arguments = [
        "relay",
        "--admin",
        &admin_text,
        "--link",
        &link,
        "--delay-us",
        "20000",
    ];
    let _process = start_standin(folder.path(), admin, &arguments).await;
    let set = |state: Value| {
        let url = format!("http://{admin}/links/a-b");
        async move {
            let put = Client::new().put(url).json(&state).send().await;
            assert_eq!(put.expect("answers").status(), 204);
        }
    };

    let mut stream = TcpStream::connect(entry).await.expect("connects");
    let delayed = round_trip(&mut stream).await.expect("an echo");
    assert!(delayed >= Duration::from_millis(40), "{delayed:?}");

    set(json!({"forward": "frozen", "backward": "frozen"})).await;
    assert_eq!(round_trip(&mut stream).await, None);
    set(json!({})).await;
    let mut byte = [0];
    stream.read_exact(&mut byte).await.expect("the held echo");
    assert!(round_trip(&mut stream).await.is_some());

    set(json!({"backward": "cut"})).await;
    assert_eq!(round_trip(&mut stream).await, None);
    set(json!({})).await;
    assert_eq!(stream.read(&mut byte).await.unwrap_or(0), 0, "is closed");

    set(json!({"forward": "cut", "backward": "cut"})).await;
    let mut cut_off = TcpStream::connect(entry).await.expect("connects");
    assert_eq!(round_trip(&mut cut_off).await, None);
    set(json!({})).await;
    assert!(cut_off.read_exact(&mut byte).await.is_ok());
}
