//! Submits the jobs of the demo in waves through entry processes.

use std::net::SocketAddr;

use eyre::{Result, bail, ensure};
use jujubelb::model::{ClassName, JobSpec, Priority, Resources, Span, TaskId, TaskKind, TaskSpec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::blocking::Client;

use crate::standin::ledger::Ledger;

/// Parameters from which a numbered job is built. The class selects how its tasks behave.
struct JobTemplate {
    class: &'static str,
    kind: TaskKind,
    team: &'static str,
    tasks: u32,
    size: Resources,
    duration: Span,
}

/// Submits jobs and keeps those that were accepted.
pub struct JobSubmitter {
    client: Client,
    rng: StdRng,
    jobs: Vec<JobSpec>,
    last_number: u32,
}

impl JobSubmitter {
    /// Creates a submitter without jobs. `seed` determines the entry process to
    /// which each submission goes first.
    pub fn new(seed: u64) -> Result<Self> {
        Ok(Self {
            client: Client::builder()
                .no_proxy()
                .timeout(Span::from_secs(8).to_std())
                .build()?,
            rng: StdRng::seed_from_u64(seed),
            jobs: Vec::new(),
            last_number: 0,
        })
    }

    /// Submits one job of each class but `broken`. A refused submission is retried through the
    /// next entry process under the same name.
    pub fn submit_wave(&mut self, entries: &[SocketAddr]) -> Result<()> {
        let gib = 1 << 30;
        let mut submit = |template| self.submit(entries, template);
        submit(JobTemplate::batch(
            "plain",
            8,
            Resources::new(2_000, 2 * gib, 0),
            3_000,
        ))?;
        submit(JobTemplate::batch(
            "noisy",
            4,
            Resources::new(3_000, 2 * gib, 0),
            2_500,
        ))?;
        submit(JobTemplate::batch(
            "small",
            6,
            Resources::new(2_000, 4 * gib, 0),
            2_000,
        ))?;
        submit(JobTemplate::batch(
            "large",
            3,
            Resources::new(1_000, 2 * gib, 0),
            2_000,
        ))?;
        submit(JobTemplate::check(
            "restock",
            4,
            Resources::new(500, gib / 2, 0),
            300,
        ))
    }

    /// Submits a job whose tasks always fail.
    pub fn submit_broken(&mut self, entries: &[SocketAddr]) -> Result<()> {
        self.submit(
            entries,
            JobTemplate::batch("broken", 1, Resources::new(500, 1 << 30, 0), 1_000),
        )?;
        // The job never succeeds, so it must not count among those that have to complete.
        self.jobs.pop();
        Ok(())
    }

    fn submit(&mut self, entries: &[SocketAddr], template: JobTemplate) -> Result<()> {
        self.last_number += 1;
        let job = template.job(self.last_number);
        let first = self.rng.random_range(0..entries.len());
        let mut last_error = String::new();
        for offset in 0..entries.len() * 2 {
            let entry = entries[(first + offset) % entries.len()];
            let answer = self
                .client
                .post(format!("http://{entry}/v1/jobs"))
                .json(&job)
                .send();
            match answer {
                Ok(response) if response.status().is_success() => {
                    self.jobs.push(job);
                    return Ok(());
                }
                Ok(response) => last_error = response.text().unwrap_or_default(),
                Err(error) => last_error = error.to_string(),
            }
        }
        bail!(
            "job {} was not accepted by any entry process: {last_error}",
            job.name
        )
    }

    /// Number of tasks of the accepted jobs, without the one that is made to fail.
    pub fn submitted(&self) -> u64 {
        self.jobs.iter().map(|j| u64::from(j.tasks)).sum()
    }

    /// Submitted tasks that have not completed.
    pub fn incomplete_tasks(&self, ledger: &Ledger) -> Vec<TaskId> {
        let tasks = |job: &JobSpec| {
            let name = job.name.clone();
            (0..job.tasks).map(move |index| TaskId {
                job: name.clone(),
                index,
            })
        };
        let all = self.jobs.iter().flat_map(tasks);
        all.filter(|t| !ledger.is_done(t)).collect()
    }

    /// Submits the latest job again under the same name. Submission is idempotent, so this must
    /// succeed without an effect.
    pub fn resubmit_last(&self, entry: SocketAddr) -> Result<()> {
        let Some(job) = self.jobs.last() else {
            return Ok(());
        };
        let response = self
            .client
            .post(format!("http://{entry}/v1/jobs"))
            .json(job)
            .send()?;
        ensure!(
            response.status().is_success(),
            "the repeated submission of {} was refused with {}",
            job.name,
            response.status()
        );
        Ok(())
    }
}

impl JobTemplate {
    fn batch(class: &'static str, tasks: u32, size: Resources, millis: u64) -> Self {
        Self {
            class,
            kind: TaskKind::Batch,
            team: "sorting",
            tasks,
            size,
            duration: Span::from_millis(millis),
        }
    }

    fn check(class: &'static str, tasks: u32, size: Resources, millis: u64) -> Self {
        Self {
            kind: TaskKind::Check,
            team: "stewards",
            ..Self::batch(class, tasks, size, millis)
        }
    }

    fn job(&self, number: u32) -> JobSpec {
        let priority = match self.kind {
            TaskKind::Check => Priority::Urgent,
            TaskKind::Batch | TaskKind::Watcher => Priority::Batch,
        };
        JobSpec {
            name: format!("{}-{number}", self.class).as_str().into(),
            team: self.team.into(),
            tasks: self.tasks,
            task: TaskSpec {
                kind: self.kind,
                class: ClassName::from(self.class),
                priority,
                size: self.size,
                duration: Some(self.duration),
                domains: Vec::new(),
                reclaimable: false,
            },
        }
    }
}
