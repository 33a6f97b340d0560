//! Budgets for retries and hedges, which add load beyond the callers' requests.

use serde::Serialize;

/// Retries and hedges per request. Slightly below 10 %, so that the tokens of a full
/// bucket do not raise the load above 1.1 times the requests once there are a
/// thousand of them.
const RETRY_RATIO: f64 = 0.095;

/// Hedges per request. Hedged requests take longer than the average: busy time grows
/// by 1.4 times this ratio, and the added load has to stay below 5 %.
const HEDGE_RATIO: f64 = 0.034;

/// Capacity of each token bucket. It lets a service with few requests retry a few of
/// them, and prevents a burst of retries when a failure follows an idle period.
const MAX_TOKENS: f64 = 5.0;

/// Token buckets for the retries and hedges of a service. Each request adds a
/// fraction of a token, and each additional attempt takes one. A hedge also takes a
/// retry token, so that both together stay within the retry budget.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct RetryBudget {
    retries: f64,
    hedges: f64,
}

impl RetryBudget {
    /// Adds the tokens for a request that is sent for the first time.
    pub(super) fn add_request(&mut self) {
        self.retries = (self.retries + RETRY_RATIO).min(MAX_TOKENS);
        self.hedges = (self.hedges + HEDGE_RATIO).min(MAX_TOKENS);
    }

    /// Takes the token for a retry. Returns false if there is none.
    pub(super) fn take_retry(&mut self) -> bool {
        let available = self.retries >= 1.0;
        if available {
            self.retries -= 1.0;
        }
        available
    }

    /// Whether the tokens for a hedge are available.
    pub(super) fn has_hedge(&self) -> bool {
        self.hedges >= 1.0 && self.retries >= 1.0
    }

    /// Takes the tokens for a hedge. Returns false if they are not available.
    pub(super) fn take_hedge(&mut self) -> bool {
        let available = self.has_hedge();
        if available {
            self.hedges -= 1.0;
            self.retries -= 1.0;
        }
        available
    }
}
