//! `pinerill job`: batch jobs over the callers' API of a node.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use clap::{Args, Subcommand};
use reqwest::{Client, RequestBuilder, Response};

use crate::exit::HttpRefusal;
use crate::operator::block_on;

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
            let body =
                fs::read(&file).with_context(|| format!("read file with {}", file.display()))?;
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
        let text = fs::read_to_string(&self.key_file)
            .with_context(|| format!("read key with {}", self.key_file.display()))?;
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
        let failed = || format!("{step} with {}", self.node);
        let response = request.send().await.with_context(failed)?;
        let mut response = self.accepted(step, response).await?;
        while let Some(bytes) = response.chunk().await.with_context(failed)? {
            use std::io::Write;
            std::io::stdout().write_all(&bytes)?;
        }
        println!();
        Ok(())
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
