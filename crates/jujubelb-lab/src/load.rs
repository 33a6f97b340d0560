//! Callers: an open-loop load of requests through entry hosts, with a check of each answer.

pub mod command;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use jujubelb::model::{Priority, Span};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::{Client, Method, Response};
use serde::Serialize;

use crate::standin::endpoint::{Receipts, TAG, body};
use crate::standin::ledger::{Invariant, Ledger};

/// Time that a caller allows beyond the deadline before it hangs up.
const PATIENCE: Duration = Duration::from_secs(2);

/// Attempts of a caller that repeats a keyed request through other entry hosts.
const KEYED_TRIES: usize = 3;

/// Pause of a caller between two attempts.
const PAUSE: Duration = Duration::from_millis(50);

/// Sort of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sort {
    /// Idempotent and urgent.
    Urgent,
    /// Idempotent, with the priority of batch work.
    Batch,
    /// Non-idempotent without a key; the caller does not repeat it.
    Once,
    /// Non-idempotent with a key; the caller repeats it through other entry hosts.
    Keyed,
    /// Idempotent and urgent with a deadline that can hardly be met, so that most are refused.
    Tight,
}

/// Deadline of `Sort::Tight`, shorter than the service time of the stand-ins.
const TIGHT: Span = Span::from_millis(4);

/// A load.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Callers' addresses of entry processes.
    pub entries: Vec<SocketAddr>,
    /// Service.
    pub service: String,
    /// Requests a second.
    pub rate: u32,
    /// Deadline of each request.
    pub deadline: Span,
    /// Share of each sort in thousandths.
    pub mix: Vec<(Sort, u32)>,
    /// Seed of arrivals and sorts.
    pub seed: u64,
}

/// Results of one sort of requests.
#[derive(Debug)]
pub struct Outcome {
    /// Latency of requests answered in full, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests by the name of their end.
    pub ends: IndexMap<String, u64>,
}

impl Default for Outcome {
    fn default() -> Self {
        Self {
            // Two digits of precision over a minute bound the memory of the histogram.
            latency: Histogram::new_with_bounds(1, 60_000_000, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constant and valid")),
            ends: IndexMap::new(),
        }
    }
}

/// Results by sort.
pub type Outcomes = IndexMap<Sort, Outcome>;

/// Where requests were received, if the load runs in the program of the stand-ins.
#[derive(Clone)]
pub struct Witness {
    /// What endpoints received.
    pub receipts: Arc<Receipts>,
    /// Where checks are noted.
    pub ledger: Arc<Mutex<Ledger>>,
}

/// How one attempt ended for its caller.
#[derive(Debug)]
enum End {
    /// An HTTP answer.
    Answer {
        status: u16,
        code: String,
        ran: String,
        whole: bool,
        text: String,
    },
    /// No connection: certainly not sent.
    NotSent,
    /// The connection broke.
    Broken,
}

/// A running load.
pub struct Load {
    plan: Plan,
    client: Client,
    run: u64,
    number: AtomicU64,
    outcomes: Mutex<Outcomes>,
    witness: Option<Witness>,
}

impl Load {
    /// Prepares a load.
    pub fn new(plan: Plan, witness: Option<Witness>) -> eyre::Result<Arc<Self>> {
        let client = Client::builder()
            .timeout(plan.deadline.to_std() + PATIENCE)
            .no_proxy()
            .build()?;
        Ok(Arc::new(Self {
            run: rand::rng().random(),
            plan,
            client,
            number: AtomicU64::new(0),
            outcomes: Mutex::default(),
            witness,
        }))
    }

    /// Sends requests until `stop` says so, then waits for the last answers.
    pub async fn run(self: &Arc<Self>, stop: impl Fn() -> bool) {
        let mut rng = StdRng::seed_from_u64(self.plan.seed);
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let mut running = tokio::task::JoinSet::new();
        while !stop() {
            let gap = -rng.random_range(f64::EPSILON..1.0).ln() / f64::from(self.plan.rate.max(1));
            due += Duration::from_secs_f64(gap);
            if let Some(wait) = due.checked_sub(start.elapsed()) {
                tokio::time::sleep(wait).await;
            }
            let sort = self.draw(&mut rng);
            let first = rng.random_range(0..self.plan.entries.len());
            let load = Arc::clone(self);
            running.spawn(async move { load.request(sort, first).await });
            while running.try_join_next().is_some() {}
        }
        while running.join_next().await.is_some() {}
    }

    fn draw(&self, rng: &mut StdRng) -> Sort {
        let total = self
            .plan
            .mix
            .iter()
            .map(|(_, share)| share)
            .sum::<u32>()
            .max(1);
        let mut left = rng.random_range(0..total);
        for (sort, share) in &self.plan.mix {
            if left < *share {
                return *sort;
            }
            left -= share;
        }
        Sort::Urgent
    }

    async fn request(&self, sort: Sort, first: usize) {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let tag = format!("{:x}-{number}", self.run);
        let begin = Instant::now();
        let tries = if sort == Sort::Keyed { KEYED_TRIES } else { 1 };
        let mut end = End::NotSent;
        let mut sent = 0;
        // A refused connection is like a balancer that skips a stopped host: it is not a try.
        for offset in 0..self.plan.entries.len() + tries {
            let entry = self.plan.entries[(first + offset) % self.plan.entries.len()];
            end = self.attempt(sort, entry, &tag).await;
            sent += usize::from(!matches!(end, End::NotSent));
            self.note_attempt(&tag, &end);
            if sent >= tries || is_final(&end) {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
        self.note(sort, &tag, begin.elapsed(), &end);
    }

    async fn attempt(&self, sort: Sort, entry: SocketAddr, tag: &str) -> End {
        let url = format!("http://{entry}/svc/{}/lab", self.plan.service);
        let method = match sort {
            Sort::Urgent | Sort::Batch | Sort::Tight => Method::GET,
            Sort::Once | Sort::Keyed => Method::POST,
        };
        let priority = match sort {
            Sort::Batch => Priority::Batch,
            _ => Priority::Urgent,
        };
        let idempotent = !matches!(sort, Sort::Once | Sort::Keyed);
        let deadline = match sort {
            Sort::Tight => TIGHT,
            _ => self.plan.deadline,
        };
        let mut request = self
            .client
            .request(method, url)
            .header(TAG, tag)
            .header("Jujubelb-Deadline-Ms", deadline.as_millis().to_string())
            .header("Jujubelb-Priority", priority.to_string())
            .header("Jujubelb-Idempotent", idempotent.to_string());
        if sort == Sort::Keyed {
            request = request.header("Idempotency-Key", tag);
        }
        match request.send().await {
            Ok(response) => read(response, tag).await,
            Err(error) if error.is_connect() => End::NotSent,
            Err(_) => End::Broken,
        }
    }

    fn note_attempt(&self, tag: &str, end: &End) {
        let Some(witness) = &self.witness else {
            return;
        };
        let received = witness.receipts.of(tag).len();
        let mut ledger = witness
            .ledger
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match end {
            End::Answer { status, whole, .. } if (200..300).contains(status) => {
                ledger.check(Invariant::P5, *whole, || {
                    format!("request {tag} got another or a cut answer")
                });
            }
            End::Answer { ran, code, .. } if ran == "no" => {
                ledger.check(Invariant::P6, received == 0, || {
                    format!("request {tag} was refused as not run with {code} and received {received} times")
                });
            }
            End::Answer { .. } | End::NotSent => {}
            End::Broken => ledger.check(Invariant::P9, false, || {
                format!("request {tag} was cut off")
            }),
        }
        if matches!(end, End::Answer { .. }) {
            ledger.check(Invariant::P9, true, String::new);
        }
    }

    fn note(&self, sort: Sort, tag: &str, elapsed: Duration, end: &End) {
        if let (Some(witness), Sort::Once | Sort::Keyed) = (&self.witness, sort) {
            let received = witness.receipts.of(tag).len();
            let mut ledger = witness
                .ledger
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            ledger.check(Invariant::P7, received <= 1, || {
                format!("non-idempotent request {tag} was received {received} times")
            });
        }
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        let outcome = outcomes.entry(sort).or_default();
        *outcome.ends.entry(end.name()).or_default() += 1;
        if end.is_success() {
            let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
            outcome.latency.saturating_record(micros.max(1));
        }
    }

    /// The results so far.
    pub fn take(&self) -> Outcomes {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *outcomes)
    }
}

async fn read(response: Response, tag: &str) -> End {
    let header = |name| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (code, ran, own) = (
        header("Jujubelb-Code"),
        header("Jujubelb-May-Have-Run"),
        header(TAG),
    );
    let status = response.status().as_u16();
    match response.text().await {
        Ok(text) => End::Answer {
            status,
            code,
            ran,
            whole: own == tag && text == body(tag),
            text,
        },
        Err(_) => End::Broken,
    }
}

fn is_final(end: &End) -> bool {
    match end {
        End::Answer { status, ran, .. } => {
            (200..300).contains(status) || ran != "no" && *status == 409
        }
        End::NotSent | End::Broken => false,
    }
}

impl End {
    fn is_success(&self) -> bool {
        matches!(self, Self::Answer { status, .. } if (200..300).contains(status))
    }

    fn name(&self) -> String {
        match self {
            Self::Answer { status, code, .. }
                if (200..300).contains(status) && !code.is_empty() =>
            {
                code.clone()
            }
            Self::Answer { code, .. } if !code.is_empty() => code.clone(),
            Self::Answer { status, text, .. } => format!("HTTP {status} {}", text.len()),
            Self::NotSent => "not sent".to_owned(),
            Self::Broken => "connection broken".to_owned(),
        }
    }
}
