//! Clients that submit jobs, cancel some, ask for their state, and retry. Each keeps its
//! connections open until the process at the other end is gone.

use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::{Client, Method, Response};
use tokio::time::{Instant, sleep, sleep_until};

use super::customers::{Customers, authorize};
use super::operator::OPEN_QUEUE;
use crate::emulator::history::{Answer, History, Role, SentJob, SentStep, What};
use crate::emulator::platform::entries::QUEUE_HOST;
use crate::emulator::platform::jobs;

/// How long a client waits for a response.
const TIMEOUT: Duration = Duration::from_secs(3);

/// How long an impatient client waits, which is less than most writes take.
const IMPATIENT_TIMEOUT: Duration = Duration::from_millis(8);

/// Share of submissions whose client is impatient once.
const IMPATIENT_SHARE: f64 = 0.05;

/// Attempts to submit or to cancel a job.
const MAX_ATTEMPTS: usize = 12;

/// Share of clients that give up after a submission that was rejected, or got no clear answer.
const GIVES_UP_SHARE: f64 = 0.4;

/// Share of accepted jobs that are submitted once more, seconds later.
const REPEATED_SHARE: f64 = 0.1;

/// Share of jobs that are cancelled.
const CANCELLED_SHARE: f64 = 0.2;

/// Share of jobs that are sent to the queue that needs no key, beside customers.
const OPEN_SHARE: f64 = 0.1;

/// Share of runs that fail, of the steps that fail at times.
const FAILING: f64 = 0.3;

/// Queues to which jobs are sent, with their services and shares.
pub(crate) const QUEUES: [(&str, &str, f64); 3] = [
    ("/urgent/", "main", 0.35),
    ("/batch/", "main", 0.9),
    ("/side/", "side", 1.0),
];

/// What all clients share.
#[derive(Debug, Clone)]
pub(crate) struct Ground {
    pub(crate) history: Arc<History>,
    /// Base URL of each host.
    pub(crate) hosts: Arc<[String]>,
    /// Customers of the callers, if queues need keys.
    pub(crate) customers: Option<Arc<Customers>>,
    /// End of the time in which jobs are sent.
    pub(crate) traffic_end: Instant,
    /// End of the time in which clients ask for states.
    pub(crate) end: Instant,
}

impl Ground {
    /// A client without open connections.
    pub(crate) fn connect() -> reqwest::Result<Client> {
        Client::builder().no_proxy().timeout(TIMEOUT).build()
    }
}

/// How the submission of a job has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Submission {
    Accepted,
    /// No attempt can have stored the job.
    Refused,
    /// An attempt may have stored the job, or may still. The client cancels it.
    Unclear,
}

/// A client with the jobs that it sends.
pub(crate) struct Caller {
    pub(crate) ground: Ground,
    http: Client,
    pub(crate) random: StdRng,
}

/// Sends jobs until the traffic ends, and follows each of them.
pub(crate) async fn send_jobs(ground: Ground, http: Client, seed: u64, pause: Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut following = tokio::task::JoinSet::new();
    let mut lasting = draw_lasting_job(&mut random);
    if ground.customers.is_some() {
        // A limit of a customer would excuse it from running.
        lasting.prefix = OPEN_QUEUE.into();
    }
    let caller = Caller::new(&ground, &http, random.random());
    following.spawn(follow_lasting(caller, lasting));
    while Instant::now() < ground.traffic_end {
        let mut job = draw_job(&mut random);
        if ground.customers.is_some() {
            if random.random_bool(OPEN_SHARE) {
                (job.prefix, job.service) = (OPEN_QUEUE.into(), QUEUES[0].1.into());
            } else {
                job.customer = Some(Customers::draw_customer(&mut random));
            }
        }
        let caller = Caller::new(&ground, &http, random.random());
        following.spawn(follow(caller, job));
        sleep(pause.mul_f64(random.random_range(0.1..1.9))).await;
    }
    while following.join_next().await.is_some() {}
}

pub(crate) fn draw_id(random: &mut StdRng) -> ArcStr {
    format!("{:016x}", random.random::<u64>()).into()
}

pub(crate) fn draw_job(random: &mut StdRng) -> SentJob {
    let drawn: f64 = random.random();
    let queue = QUEUES.iter().find(|q| drawn < q.2).unwrap_or(&QUEUES[0]);
    let steps = random.random_range(1..=3);
    let id = draw_id(random);
    SentJob {
        payload: format!("payload of {id}").into(),
        id,
        customer: None,
        prefix: queue.0.into(),
        service: queue.1.into(),
        steps: (0..steps).map(|i| draw_step(random, i)).collect(),
    }
}

fn draw_step(random: &mut StdRng, index: u16) -> SentStep {
    let failing = random.random::<f64>() < 0.15;
    SentStep {
        count: random.random_range(1..=4),
        cpu: random.random_range(3..=15) * 100,
        memory: random.random_range(64..=512),
        work: Duration::from_millis(random.random_range(100..=2_200)),
        after: index.checked_sub(1).into_iter().collect(),
        checkpoints: random.random(),
        lasts: false,
        failing: if failing { FAILING } else { 0.0 },
        role: Role::Plain,
    }
}

fn draw_lasting_job(random: &mut StdRng) -> SentJob {
    let id = draw_id(random);
    let step = SentStep {
        lasts: true,
        after: Vec::new(),
        work: Duration::from_secs(10),
        failing: 0.0,
        ..draw_step(random, 0)
    };
    SentJob {
        payload: format!("payload of {id}").into(),
        id,
        customer: None,
        prefix: QUEUES[0].0.into(),
        service: QUEUES[0].1.into(),
        steps: vec![step],
    }
}

/// Submits a job, perhaps cancels it, and asks for its state until it is over.
pub(crate) async fn follow(mut caller: Caller, job: SentJob) {
    match caller.submit(&job).await {
        Submission::Accepted => {}
        Submission::Refused => return,
        Submission::Unclear => {
            caller.cancel(&job).await;
            return;
        }
    }
    if caller.random.random::<f64>() < REPEATED_SHARE {
        caller.pause(500..3_000).await;
        caller.submit_once(&job, TIMEOUT).await;
    }
    if caller.random.random::<f64>() < CANCELLED_SHARE {
        caller.pause(0..3_000).await;
        caller.cancel(&job).await;
    }
    while Instant::now() < caller.ground.end {
        if caller.is_over(&job).await {
            return;
        }
        caller.pause(300..1_200).await;
    }
}

/// Submits a job that lasts, and cancels it when the traffic ends.
async fn follow_lasting(mut caller: Caller, job: SentJob) {
    if caller.submit(&job).await == Submission::Accepted {
        sleep_until(caller.ground.traffic_end).await;
        caller.cancel(&job).await;
    }
}

impl Caller {
    pub(crate) fn new(ground: &Ground, http: &Client, seed: u64) -> Self {
        Self {
            ground: ground.clone(),
            http: http.clone(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    async fn pause(&mut self, range_ms: std::ops::Range<u64>) {
        let pause = self.random.random_range(range_ms);
        sleep(Duration::from_millis(pause)).await;
    }

    fn draw_host(&mut self) -> usize {
        self.random.random_range(0..self.ground.hosts.len())
    }

    async fn send(
        &mut self,
        host: usize,
        method: Method,
        job: &SentJob,
        timeout: Duration,
    ) -> Result<Response, reqwest::Error> {
        let url = format!("{}{}{}", self.ground.hosts[host], job.prefix, job.id);
        let mut request = self
            .http
            .request(method.clone(), url)
            .header("Host", QUEUE_HOST)
            .header(jobs::DEADLINE_HEADER, TIMEOUT.as_millis().to_string())
            .timeout(timeout);
        if method == Method::POST {
            request = request.json(&jobs::submission(job));
        }
        let (Some(customers), Some(name)) = (&self.ground.customers, &job.customer) else {
            return request.send().await;
        };
        let key = customers.draw_key(name, &mut self.random);
        let history = &self.ground.history;
        let asked = history.now();
        let response = authorize(request, key.as_ref()).send().await?;
        history.add(What::KeyAnswered {
            host,
            key,
            asked,
            status: response.status().as_u16(),
        });
        Ok(response)
    }

    /// Submits a job until it is accepted or the client gives up.
    pub(crate) async fn submit(&mut self, job: &SentJob) -> Submission {
        let mut result = Submission::Refused;
        self.ground.history.add_job(job.clone());
        for attempt in 0..MAX_ATTEMPTS {
            let impatient = attempt == 0 && self.random.random::<f64>() < IMPATIENT_SHARE;
            let timeout = if impatient {
                IMPATIENT_TIMEOUT
            } else {
                TIMEOUT
            };
            let answer = self.submit_once(job, timeout).await;
            if answer.is_accepted() {
                return Submission::Accepted;
            }
            if !answer.is_refused() {
                result = Submission::Unclear;
            }
            if self.random.random::<f64>() < GIVES_UP_SHARE {
                break;
            }
            self.pause(150..900).await;
        }
        result
    }

    async fn submit_once(&mut self, job: &SentJob, timeout: Duration) -> Answer {
        let host = self.draw_host();
        let id = job.id.clone();
        let history = self.ground.history.clone();
        history.add(What::SubmitSent {
            job: id.clone(),
            host,
        });
        let answer = answer_of(&self.send(host, Method::POST, job, timeout).await);
        history.add(What::SubmitAnswered { job: id, answer });
        answer
    }

    /// Cancels a job until that is acknowledged or the attempts are used up.
    pub(crate) async fn cancel(&mut self, job: &SentJob) {
        let history = self.ground.history.clone();
        for _ in 0..MAX_ATTEMPTS {
            let host = self.draw_host();
            let id = job.id.clone();
            history.add(What::CancelSent {
                job: id.clone(),
                host,
            });
            let answer = answer_of(&self.send(host, Method::DELETE, job, TIMEOUT).await);
            history.add(What::CancelAnswered { job: id, answer });
            if answer.is_accepted() || answer == Answer::Status(410) {
                return;
            }
            self.pause(150..900).await;
        }
    }

    /// Asks for the state of a job. Returns whether it is over.
    async fn is_over(&mut self, job: &SentJob) -> bool {
        let host = self.draw_host();
        let history = self.ground.history.clone();
        let asked = history.now();
        let response = self.send(host, Method::GET, job, TIMEOUT).await;
        let id = job.id.clone();
        let shown = match response {
            Ok(r) if r.status() == 410 => Some(None),
            Ok(r) if r.status() == 200 => match r.bytes().await {
                Ok(body) => Some(Some(jobs::state(&body).unwrap_or("unreadable".into()))),
                Err(_) => None,
            },
            _ => None,
        };
        match shown {
            None => {
                history.add(What::StateUnknown { job: id, asked });
                false
            }
            Some(state) => {
                let over = state
                    .as_deref()
                    .is_some_and(|s| matches!(s, "completed" | "failed" | "cancelled"));
                history.add(What::StateShown {
                    job: id,
                    asked,
                    state,
                });
                over
            }
        }
    }
}

fn answer_of(result: &Result<Response, reqwest::Error>) -> Answer {
    match result {
        Ok(response) => Answer::Status(response.status().as_u16()),
        Err(error) if error.is_connect() => Answer::NotSent,
        Err(_) => Answer::Nothing,
    }
}
