//! Online requests in every shape while a batch job runs.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::time::Instant;

use super::DemoArguments;
use crate::check::{History, JobHistory};
use crate::load::content::BatchItem;
use crate::load::job_client::{job_lines, JobClient};
use crate::load::node_target::RequestShape;
use crate::load::online;
use crate::load::profile::{load_profile, LoadProfile};
use crate::load::schedule::online_arrivals;
use crate::rehearsal::{Progress, Rehearsal};

/// Length of the online load.
const ONLINE_TIME: Duration = Duration::from_secs(6);
/// Longest time for one online answer.
const ANSWER_TIME: Duration = Duration::from_secs(30);
/// Items of the batch job.
const JOB_ITEMS: usize = 600;
/// Name of the batch job.
const JOB_NAME: &str = "demo-job";
/// Longest time until a job is acknowledged, and for reading it.
const JOB_CALL_TIME: Duration = Duration::from_secs(10);
/// Longest time until a job has ended.
const JOB_TIME: Duration = Duration::from_secs(30);

/// Sends online load and a batch job at the same time and notes what came.
///
/// # Errors
/// When the job is refused or does not end in time.
pub async fn serve(
    rehearsal: &Rehearsal,
    arguments: &DemoArguments,
    history: &mut History,
    progress: &Progress,
) -> anyhow::Result<()> {
    let profile = load_profile(arguments.preset);
    progress.step(format!(
        "serving {:.0} s of online requests with bursts beside a batch job of {JOB_ITEMS} items",
        ONLINE_TIME.as_secs_f64()
    ));
    let (online, job) = tokio::join!(
        serve_online(rehearsal, &profile, arguments.seed),
        run_job(rehearsal, &profile, progress),
    );
    history.online.extend(online);
    history.jobs.push(job?);
    Ok(())
}

/// Reads the results of all jobs once more.
///
/// # Errors
/// When they can't be read.
pub async fn read_again(rehearsal: &Rehearsal, history: &mut History) -> anyhow::Result<()> {
    let client = rehearsal.job_client();
    for job in &mut history.jobs {
        let Some(id) = &job.id else {
            continue;
        };
        let reading = client.output(id, JOB_CALL_TIME).await;
        job.readings.push(reading.context("reading results again")?);
    }
    Ok(())
}

async fn serve_online(
    rehearsal: &Rehearsal,
    profile: &LoadProfile,
    seed: u64,
) -> Vec<crate::load::record::OnlineRecord> {
    let target = rehearsal.online_target(rehearsal.preset.service);
    let target = Arc::new(target.with_shapes(&RequestShape::ALL));
    let arrivals = online_arrivals(&profile.online, ONLINE_TIME, seed);
    let content = Arc::new(rehearsal.engine_content("demo"));
    let profile = Arc::new(profile.online.clone());
    let start = Instant::now();
    online::run(target, content, profile, arrivals, start, ANSWER_TIME).await
}

async fn run_job(
    rehearsal: &Rehearsal,
    profile: &LoadProfile,
    progress: &Progress,
) -> anyhow::Result<JobHistory> {
    let content = rehearsal.engine_content("demo");
    let items: Vec<BatchItem> = (0..JOB_ITEMS)
        .map(|number| content.batch_item(&profile.batch, JOB_NAME, number))
        .collect();
    let mut job = JobHistory::new(JOB_NAME, &items);
    let lines = job_lines(rehearsal.preset.service, &items);
    let client = rehearsal.job_client();
    let accepted = client
        .submit_until_acknowledged(JOB_NAME, &lines, JOB_CALL_TIME)
        .await?;
    progress.step(format!("job {} is accepted", accepted.id));
    finish_job(&client, accepted.id, &mut job).await?;
    progress.step(format!("job {} has ended", job.id.as_deref().unwrap_or("")));
    Ok(job)
}

async fn finish_job(client: &JobClient, id: String, job: &mut JobHistory) -> anyhow::Result<()> {
    let ended = client.await_end(&id, JOB_TIME).await?;
    job.state = Some(ended.state);
    let reading = client.output(&id, JOB_CALL_TIME).await?;
    job.readings.push(reading);
    job.id = Some(id);
    Ok(())
}
