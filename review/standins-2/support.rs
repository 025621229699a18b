//! What the cases share: the project's processes on loopback addresses, the platform's list of
//! workers, HTTP by hand for workers and clients, and the record of a run.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/pinerill-platform";
const OPERATOR_PORT: u16 = 7710;
const CLIENT_PORT: u16 = 7711;
const READY_PORT: u16 = 7712;
const FIRST_INTERNAL_PORT: u16 = 7720;
const LAST_INTERNAL_PORT: u16 = 7735;
/// Number of the first node's machine; control machines count from 1.
const FIRST_NODE: u8 = 10;
const CONTROLS: u8 = 3;
const ZONE: &str = "za";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(50);
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a client waits for an answer.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Host name of all routes.
pub const HOST: &str = "h.example";
/// The service, unless a case has several.
pub const SERVICE: &str = "svc";

/// Processes that this run has started, by their ids.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends every process that this run has started.
pub fn end_all_processes() {
    for id in STARTED.lock().expect("lock").drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

/// Result of a run, as the exit status of the script.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:9.3} {}\n",
            self.began.elapsed().as_secs_f64(),
            text.as_ref()
        );
        let mut file = self.file.lock().expect("lock");
        file.write_all(line.as_bytes()).expect("write the record");
        print!("{line}");
    }
}

/// Waits until a condition holds; an error after the time limit.
pub fn wait_for(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) -> io::Result<()> {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > limit {
            return Err(io::Error::other(format!("{what}: not within {limit:?}")));
        }
        thread::sleep(PAUSE);
    }
    Ok(())
}

// ---------------------------------------------------------------- HTTP

/// A request as a worker or the list received it.
pub struct Request {
    pub target: String,
    headers: HashMap<String, String>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or_default()
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((line, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &headers)?;
    let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
    Ok(Some(Request { target, headers }))
}

/// The answer to a client's request.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// How a request ended for its client.
#[derive(Debug, Clone)]
pub enum End {
    /// A whole answer came.
    Answered(Answer),
    /// The connection ended, or the answer did before it was whole.
    Cut(String),
    /// The client gave up.
    TimedOut,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    /// Writes a request.
    pub fn send(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{line} HTTP/1.1\r\nHost: {HOST}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Reads the answer to the last request, for at most `limit`.
    pub fn answer(&mut self, limit: Duration) -> End {
        if let Err(error) = self.stream.set_read_timeout(Some(limit)) {
            return End::Cut(error.to_string());
        }
        match self.read_answer() {
            Ok(answer) => End::Answered(answer),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => End::TimedOut,
            Err(error) if error.kind() == io::ErrorKind::TimedOut => End::TimedOut,
            Err(error) => End::Cut(error.to_string()),
        }
    }

    fn read_answer(&mut self) -> io::Result<Answer> {
        let (line, headers) = read_head(&mut self.reader)?
            .ok_or_else(|| io::Error::other("the connection ended without an answer"))?;
        let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or_else(|| io::Error::other(format!("no answer: {line}")))?;
        let is_chunked = headers.get("transfer-encoding").is_some();
        let body = match is_chunked {
            true => self.read_chunks()?,
            false => read_body(&mut self.reader, &headers)?,
        };
        Ok(Answer { status, body })
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut whole = Vec::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::Error::other("the answer ended before its last chunk"));
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            self.reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(whole);
            }
            whole.extend_from_slice(&chunk[..size]);
        }
    }
}

/// Sends one request on a connection of its own.
pub fn ask(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<End> {
    let mut client = Client::connect(address)?;
    client.send(line, headers, body)?;
    Ok(client.answer(limit))
}

/// Status of an answer; 0 if none came.
pub fn status(end: &io::Result<End>) -> u16 {
    match end {
        Ok(End::Answered(answer)) => answer.status,
        _ => 0,
    }
}

// ---------------------------------------------------------------- the list of workers

/// One entry of the platform's list.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub state: &'static str,
    pub service: &'static str,
}

/// The platform's list of workers.
#[derive(Clone)]
pub struct WorkerList {
    pub address: SocketAddr,
    instances: Arc<Mutex<Vec<Instance>>>,
}

impl WorkerList {
    pub fn start(ip: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let list = WorkerList {
            address: listener.local_addr()?,
            instances: Arc::default(),
        };
        let served = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        Ok(list)
    }

    /// Shows an instance, or changes what is shown of it.
    pub fn show(&self, instance: Instance) {
        let mut instances = self.instances.lock().expect("lock");
        instances.retain(|one| one.id != instance.id);
        instances.push(instance);
    }

    /// Takes an instance out of the list.
    pub fn remove(&self, id: &str) {
        let mut instances = self.instances.lock().expect("lock");
        instances.retain(|one| one.id != id);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while read_request(&mut reader)?.is_some() {
            let body = self.page();
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
        Ok(())
    }

    fn page(&self) -> String {
        let instances = self.instances.lock().expect("lock");
        let entries = instances.iter().map(|one| {
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"{}\",\"cold_left_ms\":0,\"id\":\"{}\"}}",
                one.service, one.address, one.slots, one.state, one.id
            )
        });
        let entries: Vec<String> = entries.collect();
        format!(
            "{{\"instances\":[{}],\"next_token\":null}}",
            entries.join(",")
        )
    }
}

// ---------------------------------------------------------------- the fleet

/// The project's processes, ended when dropped.
pub struct Fleet {
    net: String,
    folder: PathBuf,
    processes: HashMap<String, Child>,
    pub list: WorkerList,
    record: Record,
}

impl Fleet {
    /// Starts three control machines, which found the cluster, and `nodes` nodes.
    pub fn start(nodes: u8, record: &Record) -> io::Result<Self> {
        let net = free_net()?;
        let folder = std::env::temp_dir().join(format!("pinerill-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let list = WorkerList::start(&format!("{net}.200"))?;
        let mut fleet = Fleet {
            net,
            folder,
            processes: HashMap::new(),
            list,
            record: record.clone(),
        };
        for machine in 1..=CONTROLS {
            fleet.start_process(&format!("control-{machine}"), "control", machine)?;
        }
        for node in 0..nodes {
            fleet.start_node(node)?;
        }
        Ok(fleet)
    }

    /// An address for a stand-in; 201 to 250 are free for them.
    pub fn ip(&self, number: u8) -> String {
        format!("{}.{number}", self.net)
    }

    pub fn start_node(&mut self, node: u8) -> io::Result<()> {
        self.start_process(&format!("node-{node}"), "node", FIRST_NODE + node)
    }

    fn start_process(&mut self, name: &str, role: &str, machine: u8) -> io::Result<()> {
        let template = fs::read_to_string(format!("deploy/{role}.toml"))?;
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.fields(machine).fill(&template))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("PINERILL_BOOT", &settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.record
            .note(format!("start {name}, process {}", child.id()));
        STARTED.lock().expect("lock").push(child.id());
        self.processes.insert(name.to_owned(), child);
        Ok(())
    }

    fn fields(&self, machine: u8) -> Fields {
        let ip = self.ip(machine);
        let text = |text: String| Field::Text(text);
        let seeds = (1..=CONTROLS).map(|seed| format!("{}:{OPERATOR_PORT}", self.ip(seed)));
        let data = self.folder.join(format!("data-{machine}"));
        Fields(vec![
            ("node_name", text(format!("m-{machine}"))),
            ("zone", text(ZONE.to_owned())),
            ("ip", text(ip.clone())),
            (
                "zones",
                Field::Table(vec![(ZONE.to_owned(), "ra".to_owned())]),
            ),
            ("listen.front", text(format!("{ip}:{CLIENT_PORT}"))),
            ("listen.ready", text(format!("{ip}:{READY_PORT}"))),
            ("listen.control", text(format!("{ip}:{OPERATOR_PORT}"))),
            ("port_range.0", text(FIRST_INTERNAL_PORT.to_string())),
            ("port_range.1", text(LAST_INTERNAL_PORT.to_string())),
            ("seed_addrs", Field::List(seeds.collect())),
            ("bootstrap", text("true".to_owned())),
            ("data_dir", text(data.display().to_string())),
            ("limits.disk_mb", text("480".to_owned())),
            ("fault_tolerance.machines", text("1".to_owned())),
            ("cloud.address", text(self.list.address.to_string())),
            ("cloud.rate_per_s", text("44.0".to_owned())),
            ("bounds.drain_ms", text("3000".to_owned())),
            ("bounds.grace_s", text("8".to_owned())),
            ("bounds.status_s", text("120".to_owned())),
        ])
    }

    /// Where a node serves clients.
    pub fn node(&self, node: u8) -> SocketAddr {
        let address = format!("{}:{CLIENT_PORT}", self.ip(FIRST_NODE + node));
        address.parse().expect("an address")
    }

    fn ready_address(&self, node: u8) -> SocketAddr {
        let address = format!("{}:{READY_PORT}", self.ip(FIRST_NODE + node));
        address.parse().expect("an address")
    }

    pub fn operator(&self, machine: u8) -> SocketAddr {
        let address = format!("{}:{OPERATOR_PORT}", self.ip(machine));
        address.parse().expect("an address")
    }

    /// Sends a configuration to one machine after the other until it is acknowledged.
    pub fn put_configuration(&self, document: &str) -> io::Result<()> {
        let mut machine = 0;
        wait_for(
            "acknowledgement of the configuration",
            START_TIMEOUT,
            || {
                machine = machine % CONTROLS + 1;
                let line = "POST /pinerill/config/put";
                let headers = [("Content-Type", "application/json")];
                let address = self.operator(machine);
                let end = ask(
                    address,
                    line,
                    &headers,
                    document.as_bytes(),
                    Duration::from_secs(2),
                );
                status(&end) == 200
            },
        )?;
        self.record
            .note(format!("configuration acknowledged: {document}"));
        Ok(())
    }

    pub fn is_ready(&self, node: u8) -> bool {
        let address = self.ready_address(node);
        status(&ask(
            address,
            "GET /readyz",
            &[],
            &[],
            Duration::from_secs(1),
        )) == 200
    }

    pub fn wait_until_ready(&self, nodes: u8) -> io::Result<()> {
        for node in 0..nodes {
            wait_for("readiness", START_TIMEOUT, || self.is_ready(node))?;
        }
        Ok(())
    }

    /// Sends a signal to a process that this run started.
    pub fn signal(&self, name: &str, signal: &str) -> io::Result<()> {
        let id = self.processes[name].id().to_string();
        self.record.note(format!("SIG{signal} to {name}"));
        let sent = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status()?;
        match sent.success() {
            true => Ok(()),
            false => Err(io::Error::other("the signal was not sent")),
        }
    }

    /// Whether a process has ended by now.
    pub fn has_ended(&mut self, name: &str) -> bool {
        let child = self.processes.get_mut(name).expect("a process");
        matches!(child.try_wait(), Ok(Some(_)))
    }

    /// Lines of a process's log that hold a word.
    pub fn log_lines(&self, name: &str, word: &str) -> Vec<String> {
        let text = fs::read_to_string(self.folder.join(format!("{name}.log")));
        let text = text.unwrap_or_default();
        let lines = text.lines().filter(|line| line.contains(word));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => println!("logs in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// A part of loopback in which nobody listens at the ports of the fleet.
fn free_net() -> io::Result<String> {
    let first = std::process::id();
    for number in first..first + 200 {
        let net = format!("127.{}.{}", 1 + number % 250, 1 + number / 250 % 250);
        let is_free = (1..=CONTROLS)
            .all(|machine| TcpListener::bind((format!("{net}.{machine}"), OPERATOR_PORT)).is_ok());
        if is_free {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free part of loopback"))
}

// ---------------------------------------------------------------- settings

enum Field {
    Text(String),
    List(Vec<String>),
    Table(Vec<(String, String)>),
}

/// The platform's fields, by which the settings templates are filled.
struct Fields(Vec<(&'static str, Field)>);

impl Fields {
    fn find(&self, name: &str) -> Option<&Field> {
        self.0
            .iter()
            .find(|(field, _)| *field == name)
            .map(|(_, field)| field)
    }

    fn fill(&self, template: &str) -> String {
        let mut filled = String::new();
        let mut rest = template;
        while let Some(start) = rest.find("{{") {
            filled.push_str(&rest[..start]);
            let end = start + rest[start..].find("}}").expect("a gap ends");
            let gap = &rest[start + 2..end];
            rest = &rest[end + 2..];
            let Some(name) = gap.strip_prefix('#') else {
                if let Some(Field::Text(text)) = self.find(gap) {
                    filled.push_str(text);
                }
                continue;
            };
            let closing = format!("{{{{/{name}}}}}");
            let inner_end = rest.find(&closing).expect("a section ends");
            let inner = &rest[..inner_end];
            rest = &rest[inner_end + closing.len()..];
            filled.push_str(&self.fill_section(name, inner));
        }
        filled + rest
    }

    fn fill_section(&self, name: &str, inner: &str) -> String {
        match self.find(name) {
            None => String::new(),
            Some(Field::Text(_)) => self.fill(inner),
            Some(Field::List(entries)) => {
                let last = entries.len() - 1;
                let entries = entries.iter().enumerate().map(|(position, entry)| {
                    let comma = if position < last { "," } else { "" };
                    inner.replace("{{.}}", entry).replace("{{,}}", comma)
                });
                entries.collect()
            }
            Some(Field::Table(entries)) => {
                let entries = entries.iter();
                let entries =
                    entries.map(|(key, value)| inner.replace("{{@}}", key).replace("{{.}}", value));
                entries.collect()
            }
        }
    }
}

// ---------------------------------------------------------------- workers

/// What a worker does with a request; returns whether the connection stays open.
pub type Handler = dyn Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// Starts a worker at a port of its own.
pub fn start_worker(ip: &str, handler: Arc<Handler>) -> io::Result<SocketAddr> {
    start_worker_until(ip, handler, Arc::default())
}

/// Starts a worker that takes no more connections once `is_lost` is set, from the next one on.
pub fn start_worker_until(
    ip: &str,
    handler: Arc<Handler>,
    is_lost: Arc<AtomicBool>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_lost.load(Ordering::SeqCst) {
                return;
            }
            let handler = handler.clone();
            thread::spawn(move || serve_worker(stream, &*handler));
        }
    });
    Ok(address)
}

fn serve_worker(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        if !handler(&request, &mut writer)? {
            break;
        }
    }
    Ok(())
}

/// A worker's answer of known length, with its signature unless it did not run the request.
pub fn worker_answer(request: &Request, status: &str, extra: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        request.id(),
        body.len()
    )
}
