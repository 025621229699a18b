//! Batch load through pinerill: heaps of jobs, submitted at their times.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

use crate::check::{Cancel, JobHistory};
use crate::ledger::unix_us;
use crate::load::content::{BatchItem, ContentContext};
use crate::load::job_client::{job_lines, JobClient};
use crate::load::profile::BatchProfile;
use crate::load::schedule::Heap;

/// Longest time until a job is acknowledged.
const SUBMIT_TIME: Duration = Duration::from_secs(30);
/// Longest time until a cancelled job has ended, and for reading it.
const END_TIME: Duration = Duration::from_secs(60);

/// What the jobs of a phase have in common.
#[derive(Debug)]
pub struct BatchLoad {
    /// The tenant's client.
    pub client: JobClient,
    /// What the items have in common.
    pub content: ContentContext,
    /// Their shape.
    pub profile: BatchProfile,
}

impl BatchLoad {
    /// Submits all heaps at their times, and returns the jobs at `end`.
    ///
    /// # Errors
    /// When a job is not acknowledged in time.
    pub async fn run(
        self: &Arc<Self>,
        heaps: Vec<Heap>,
        start: Instant,
        end: Instant,
    ) -> anyhow::Result<Vec<JobHistory>> {
        let mut submissions = JoinSet::new();
        for (heap_number, heap) in heaps.into_iter().enumerate() {
            sleep_until(start + heap.at).await;
            for (job_number, size) in heap.jobs.into_iter().enumerate() {
                let name = format!("job-{heap_number}-{job_number}");
                let load = self.clone();
                submissions.spawn(load.submit(name, size));
            }
        }
        sleep_until(end).await;
        let mut jobs = Vec::new();
        while let Some(job) = submissions.join_next().await {
            jobs.push(job.context("submitting a job")??);
        }
        Ok(jobs)
    }

    /// Cancels what is left of the jobs and reads all results.
    ///
    /// # Errors
    /// When a job does not end in time.
    pub async fn finish(&self, jobs: &mut [JobHistory]) -> anyhow::Result<()> {
        for job in jobs.iter_mut() {
            let Some(id) = job.id.clone() else {
                continue;
            };
            let view = self.client.status(&id).await?;
            if view.counts.pending + view.counts.leased > 0 {
                let view = self.client.cancel_until_acknowledged(&id, END_TIME).await?;
                job.cancel = Some(Cancel {
                    answered_us: unix_us(),
                    indeterminate: view.counts.indeterminate,
                });
            }
        }
        for job in jobs {
            let Some(id) = &job.id else {
                continue;
            };
            job.state = Some(self.client.await_end(id, END_TIME).await?.state);
            job.readings.push(self.client.output(id, END_TIME).await?);
        }
        Ok(())
    }

    async fn submit(self: Arc<Self>, name: String, size: usize) -> anyhow::Result<JobHistory> {
        let key = format!("{}-{name}", self.content.tag);
        let load = self.clone();
        // Off the threads that read online answers, whose times are measured.
        let prepared = tokio::task::spawn_blocking(move || load.prepare(&name, size));
        let (items, lines) = prepared.await.context("preparing a job")?;
        let view = self
            .client
            .submit_until_acknowledged(&key, &lines, SUBMIT_TIME)
            .await?;
        let mut job = JobHistory::new(key, &items);
        job.id = Some(view.id);
        Ok(job)
    }

    fn prepare(&self, name: &str, size: usize) -> (Vec<BatchItem>, String) {
        let items = self.items(name, size);
        let lines = job_lines(&self.content.service, &items);
        (items, lines)
    }

    fn items(&self, name: &str, size: usize) -> Vec<BatchItem> {
        (0..size)
            .map(|number| self.content.batch_item(&self.profile, name, number))
            .collect()
    }
}
