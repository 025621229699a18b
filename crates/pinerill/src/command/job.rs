//! `pinerill job`: batch jobs over the callers' API of a node.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Subcommand};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::Value;

use crate::exit::{HttpFailure, HttpRefusal, WrongInput};
use crate::files::{read_bytes, read_text};
use crate::operator::block_on;
use crate::output;

/// Where and as whom to call.
#[derive(Args)]
pub struct CallerArguments {
    /// A node's address for callers.
    #[arg(long, env = "PINERILL_NODE")]
    node: SocketAddr,
    /// File with the bearer key.
    #[arg(long, env = "PINERILL_KEY_FILE")]
    key_file: PathBuf,
}

/// Commands about batch jobs. All print what the node answers: JSON.
#[derive(Subcommand)]
pub enum JobCommand {
    /// Submits a file of JSON lines; the same key submits the same job.
    Submit {
        #[command(flatten)]
        caller: CallerArguments,
        /// Key that makes a resent job the same job.
        #[arg(long)]
        idempotency_key: String,
        /// Seconds until the job should have ended.
        #[arg(long)]
        deadline_seconds: Option<u64>,
        /// The file.
        file: PathBuf,
    },
    /// Shows a job.
    Status {
        #[command(flatten)]
        caller: CallerArguments,
        /// The job.
        job: String,
    },
    /// Prints the results as JSON lines.
    Output {
        #[command(flatten)]
        caller: CallerArguments,
        /// The job.
        job: String,
    },
    /// Cancels a job.
    Cancel {
        #[command(flatten)]
        caller: CallerArguments,
        /// The job.
        job: String,
    },
}

/// Runs the command.
pub fn run(command: JobCommand) -> anyhow::Result<()> {
    block_on(run_command(command))
}

async fn run_command(command: JobCommand) -> anyhow::Result<()> {
    match command {
        JobCommand::Submit {
            caller,
            idempotency_key,
            deadline_seconds,
            file,
        } => {
            let body = read_bytes("read items", &file)?;
            let mut request = caller
                .post("/v1/batches")?
                .header("Idempotency-Key", idempotency_key)
                .body(body);
            if let Some(seconds) = deadline_seconds {
                request = request.header("Pinerill-Deadline-Seconds", seconds);
            }
            caller.print("submit a job", request).await
        }
        JobCommand::Status { caller, job } => {
            let request = caller.get(&format!("/v1/batches/{job}"))?;
            caller.print("read a job", request).await
        }
        JobCommand::Output { caller, job } => {
            let request = caller.get(&format!("/v1/batches/{job}/output"))?;
            caller.print("read results", request).await
        }
        JobCommand::Cancel { caller, job } => {
            let request = caller.post(&format!("/v1/batches/{job}/cancel"))?;
            caller.print("cancel a job", request).await
        }
    }
}

impl CallerArguments {
    fn client(&self) -> anyhow::Result<Client> {
        Ok(Client::builder().no_proxy().build()?)
    }

    fn key(&self) -> anyhow::Result<String> {
        let text = read_text("read bearer key", &self.key_file)?;
        Ok(text.trim().to_owned())
    }

    fn get(&self, path: &str) -> anyhow::Result<RequestBuilder> {
        let url = format!("http://{}{path}", self.node);
        Ok(self.client()?.get(url).bearer_auth(self.key()?))
    }

    fn post(&self, path: &str) -> anyhow::Result<RequestBuilder> {
        let url = format!("http://{}{path}", self.node);
        Ok(self.client()?.post(url).bearer_auth(self.key()?))
    }

    async fn print(&self, step: &str, request: RequestBuilder) -> anyhow::Result<()> {
        let sent = request.send().await;
        let response = sent.map_err(|error| self.failure(step, &error))?;
        let mut response = self.accepted(step, response).await?;
        let mut last_line = LastLine::default();
        loop {
            let chunk = response.chunk().await;
            let Some(bytes) = chunk.map_err(|error| self.failure(step, &error))? else {
                break;
            };
            output::bytes(&bytes)?;
            last_line.add(&bytes);
        }
        if !last_line.is_ended() {
            output::bytes(b"\n")?;
        }
        match last_line.error() {
            Some(message) => Err(self.not_whole(step, message).into()),
            None => Ok(()),
        }
    }

    fn failure(&self, step: &str, error: &reqwest::Error) -> anyhow::Error {
        if error.is_builder() {
            // A key or a header that HTTP can't carry; never shown.
            let message = format!("{step} with {}: the key has wrong characters", self.node);
            return WrongInput(message).into();
        }
        let mut failure = self.not_whole(step, last_cause(error));
        failure.not_sent = error.is_connect();
        failure.into()
    }

    fn not_whole(&self, step: &str, message: String) -> HttpFailure {
        HttpFailure {
            step: step.to_owned(),
            peer: self.node.to_string(),
            message,
            not_sent: false,
        }
    }

    async fn accepted(&self, step: &str, response: Response) -> anyhow::Result<Response> {
        if response.status().is_success() {
            return Ok(response);
        }
        Err(HttpRefusal {
            step: step.to_owned(),
            peer: self.node.to_string(),
            status: response.status().as_u16(),
            message: response.text().await.unwrap_or_default(),
        }
        .into())
    }
}

/// The cause that all others are wrapped around: the system's own words.
fn last_cause(error: &dyn std::error::Error) -> String {
    let mut last = error;
    while let Some(source) = last.source() {
        last = source;
    }
    last.to_string()
}

/// The last line of what was printed.
#[derive(Default)]
struct LastLine {
    /// Without the line's end.
    bytes: Vec<u8>,
    ended: bool,
}

impl LastLine {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if std::mem::take(&mut self.ended) {
                self.bytes.clear();
            }
            match byte {
                b'\n' => self.ended = true,
                byte => self.bytes.push(*byte),
            }
        }
    }

    fn is_ended(&self) -> bool {
        self.ended || self.bytes.is_empty()
    }

    /// The error that takes the place of the lines that are missing.
    fn error(&self) -> Option<String> {
        let line: Value = serde_json::from_slice(&self.bytes).ok()?;
        let fields = line.as_object()?;
        let error = fields.get("error").filter(|_| fields.len() == 1)?;
        Some(format!("the results are not whole: {error}"))
    }
}
