//! Open-loop load generator: sends requests through entry hosts and verifies each response.

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

/// Time after the deadline for which a caller still waits for the response.
const RESPONSE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Attempts at a keyed request, each through another entry host. Refused connections do not count.
const MAX_KEYED_ATTEMPTS: usize = 3;

/// Delay between two attempts at a request.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Kind of request; determines method, priority, deadline and retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// Idempotent, with urgent priority.
    Urgent,
    /// Idempotent, with batch priority.
    Batch,
    /// Non-idempotent without an idempotency key; not retried.
    Once,
    /// Non-idempotent with an idempotency key; retried through other entry hosts.
    Keyed,
    /// Idempotent and urgent, with a deadline so short that most are refused.
    Tight,
}

/// Deadline of `RequestKind::Tight`, shorter than the service time of the stand-ins.
const TIGHT_DEADLINE: Span = Span::from_millis(4);

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Addresses at which entry processes accept requests.
    pub entries: Vec<SocketAddr>,
    /// Name of the service that receives the requests.
    pub service: String,
    /// Mean arrival rate in requests per second; arrivals are a Poisson process.
    pub rate: u32,
    /// Deadline of each request, except those of `RequestKind::Tight`.
    pub deadline: Span,
    /// Relative share of each request kind.
    pub mix: Vec<(RequestKind, u32)>,
    /// Seed of arrival times, request kinds and the choice of entry processes.
    pub seed: u64,
}

/// Statistics of one request kind.
#[derive(Debug)]
pub struct RequestStats {
    /// Latency of successful requests over all attempts, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of requests by the outcome of the last attempt: a result code, an HTTP status with the
    /// length of the body, `not sent` or `connection broken`.
    pub outcomes: IndexMap<String, u64>,
}

impl Default for RequestStats {
    fn default() -> Self {
        Self {
            // Three significant digits up to one minute bound the memory of the histogram.
            latency: Histogram::new_with_bounds(1, 60_000_000, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constant and valid")),
            outcomes: IndexMap::new(),
        }
    }
}

/// Statistics by request kind.
pub type StatsByKind = IndexMap<RequestKind, RequestStats>;

/// Checks responses against what the stand-in endpoints received. Only available when the load
/// runs in the same process as the stand-ins.
#[derive(Clone)]
pub struct Verifier {
    /// Requests that the endpoints received, by tag.
    pub receipts: Arc<Receipts>,
    /// Records the result of each invariant check.
    pub ledger: Arc<Mutex<Ledger>>,
}

/// Outcome of one attempt, as the caller sees it.
#[derive(Debug)]
enum AttemptOutcome {
    /// An HTTP response with its complete body.
    Answered {
        status: u16,
        code: String,
        may_have_run: String,
        /// The tag and the body are those expected for the request.
        complete: bool,
        text: String,
    },
    /// The connection could not be opened, so nothing was sent.
    NotSent,
    /// The connection broke or timed out; the request may have been received.
    Disconnected,
}

/// Sends the requests of a plan and collects their statistics.
pub struct LoadGenerator {
    plan: LoadPlan,
    client: Client,
    run_id: u64,
    next_number: AtomicU64,
    stats: Mutex<StatsByKind>,
    verifier: Option<Verifier>,
}

impl LoadGenerator {
    /// Creates a load generator; `run` starts sending. Fails if the HTTP client can't be built.
    pub fn new(plan: LoadPlan, verifier: Option<Verifier>) -> eyre::Result<Arc<Self>> {
        let client = Client::builder()
            .timeout(plan.deadline.to_std() + RESPONSE_TIMEOUT_MARGIN)
            .no_proxy()
            .build()?;
        Ok(Arc::new(Self {
            run_id: rand::rng().random(),
            plan,
            client,
            next_number: AtomicU64::new(0),
            stats: Mutex::default(),
            verifier,
        }))
    }

    /// Sends requests until `stop` returns true, then waits for the outstanding responses.
    pub async fn run(self: &Arc<Self>, stop: impl Fn() -> bool) {
        let mut rng = StdRng::seed_from_u64(self.plan.seed);
        let start = Instant::now();
        let mut arrival = Duration::ZERO;
        let mut running = tokio::task::JoinSet::new();
        while !stop() {
            let gap = -rng.random_range(f64::EPSILON..1.0).ln() / f64::from(self.plan.rate.max(1));
            arrival += Duration::from_secs_f64(gap);
            if let Some(wait) = arrival.checked_sub(start.elapsed()) {
                tokio::time::sleep(wait).await;
            }
            let kind = self.choose_kind(&mut rng);
            let first = rng.random_range(0..self.plan.entries.len());
            let load = Arc::clone(self);
            running.spawn(async move { load.request(kind, first).await });
            while running.try_join_next().is_some() {}
        }
        while running.join_next().await.is_some() {}
    }

    fn choose_kind(&self, rng: &mut StdRng) -> RequestKind {
        let total = self
            .plan
            .mix
            .iter()
            .map(|(_, share)| share)
            .sum::<u32>()
            .max(1);
        let mut left = rng.random_range(0..total);
        for (kind, share) in &self.plan.mix {
            if left < *share {
                return *kind;
            }
            left -= share;
        }
        RequestKind::Urgent
    }

    async fn request(&self, kind: RequestKind, first: usize) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let tag = format!("{:x}-{number}", self.run_id);
        let started_at = Instant::now();
        let max_attempts = if kind == RequestKind::Keyed {
            MAX_KEYED_ATTEMPTS
        } else {
            1
        };
        let mut outcome = AttemptOutcome::NotSent;
        let mut attempts = 0;
        // A refused connection doesn't count as an attempt: a load balancer skips a stopped host too.
        for offset in 0..self.plan.entries.len() + max_attempts {
            let entry = self.plan.entries[(first + offset) % self.plan.entries.len()];
            outcome = self.attempt(kind, entry, &tag).await;
            attempts += usize::from(!matches!(outcome, AttemptOutcome::NotSent));
            self.check_attempt(&tag, &outcome);
            if attempts >= max_attempts || is_final(&outcome) {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        self.record_request(kind, &tag, started_at.elapsed(), &outcome);
    }

    async fn attempt(&self, kind: RequestKind, entry: SocketAddr, tag: &str) -> AttemptOutcome {
        let url = format!("http://{entry}/svc/{}/lab", self.plan.service);
        let method = match kind {
            RequestKind::Urgent | RequestKind::Batch | RequestKind::Tight => Method::GET,
            RequestKind::Once | RequestKind::Keyed => Method::POST,
        };
        let priority = match kind {
            RequestKind::Batch => Priority::Batch,
            _ => Priority::Urgent,
        };
        let idempotent = !matches!(kind, RequestKind::Once | RequestKind::Keyed);
        let deadline = match kind {
            RequestKind::Tight => TIGHT_DEADLINE,
            _ => self.plan.deadline,
        };
        let mut request = self
            .client
            .request(method, url)
            .header(TAG, tag)
            .header("Jujubelb-Deadline-Ms", deadline.as_millis().to_string())
            .header("Jujubelb-Priority", priority.to_string())
            .header("Jujubelb-Idempotent", idempotent.to_string());
        if kind == RequestKind::Keyed {
            request = request.header("Idempotency-Key", tag);
        }
        match request.send().await {
            Ok(response) => read_response(response, tag).await,
            Err(error) if error.is_connect() => AttemptOutcome::NotSent,
            Err(_) => AttemptOutcome::Disconnected,
        }
    }

    fn check_attempt(&self, tag: &str, outcome: &AttemptOutcome) {
        let Some(verifier) = &self.verifier else {
            return;
        };
        let received = verifier.receipts.of(tag).len();
        let mut ledger = verifier
            .ledger
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match outcome {
            AttemptOutcome::Answered {
                status, complete, ..
            } if (200..300).contains(status) => {
                ledger.check(Invariant::P5, *complete, || {
                    format!("request {tag} got an incomplete response or that of another request")
                });
            }
            AttemptOutcome::Answered {
                may_have_run, code, ..
            } if may_have_run == "no" => {
                ledger.check(Invariant::P6, received == 0, || {
                    format!("request {tag} was refused with {code} as not run, but was received {received} times")
                });
            }
            AttemptOutcome::Answered { .. } | AttemptOutcome::NotSent => {}
            AttemptOutcome::Disconnected => ledger.check(Invariant::P9, false, || {
                format!("request {tag} got no complete response")
            }),
        }
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            ledger.check(Invariant::P9, true, String::new);
        }
    }

    fn record_request(
        &self,
        kind: RequestKind,
        tag: &str,
        elapsed: Duration,
        outcome: &AttemptOutcome,
    ) {
        if let (Some(verifier), RequestKind::Once | RequestKind::Keyed) = (&self.verifier, kind) {
            let received = verifier.receipts.of(tag).len();
            let mut ledger = verifier
                .ledger
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            ledger.check(Invariant::P7, received <= 1, || {
                format!("non-idempotent request {tag} was received {received} times")
            });
        }
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        let kind_stats = stats.entry(kind).or_default();
        *kind_stats.outcomes.entry(outcome.name()).or_default() += 1;
        if outcome.is_success() {
            let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
            kind_stats.latency.saturating_record(micros.max(1));
        }
    }

    /// Returns the statistics collected since the last call and clears them.
    pub fn take_stats(&self) -> StatsByKind {
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *stats)
    }
}

async fn read_response(response: Response, tag: &str) -> AttemptOutcome {
    let header = |name| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (code, may_have_run, response_tag) = (
        header("Jujubelb-Code"),
        header("Jujubelb-May-Have-Run"),
        header(TAG),
    );
    let status = response.status().as_u16();
    match response.text().await {
        Ok(text) => AttemptOutcome::Answered {
            status,
            code,
            may_have_run,
            complete: response_tag == tag && text == body(tag),
            text,
        },
        Err(_) => AttemptOutcome::Disconnected,
    }
}

fn is_final(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered {
            status,
            may_have_run,
            ..
        } => (200..300).contains(status) || may_have_run != "no" && *status == 409,
        AttemptOutcome::NotSent | AttemptOutcome::Disconnected => false,
    }
}

impl AttemptOutcome {
    fn is_success(&self) -> bool {
        matches!(self, Self::Answered { status, .. } if (200..300).contains(status))
    }

    fn name(&self) -> String {
        match self {
            Self::Answered { status, code, .. }
                if (200..300).contains(status) && !code.is_empty() =>
            {
                code.clone()
            }
            Self::Answered { code, .. } if !code.is_empty() => code.clone(),
            Self::Answered { status, text, .. } => format!("HTTP {status} {}", text.len()),
            Self::NotSent => "not sent".to_owned(),
            Self::Disconnected => "connection broken".to_owned(),
        }
    }
}
