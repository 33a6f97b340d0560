//! Budgets for work that nobody asked for: retries and hedges.

use serde::Serialize;

/// Share of requests that may be sent again. It is slightly below 10 %, so that
/// the saved tokens do not lift the load above 1.1 times the requests once
/// there are a thousand of them.
const RETRY_RATIO: f64 = 0.095;

/// Share of requests that may be hedged. Requests that are hedged are larger than
/// the average: measured busy time grew by 1.4 times this share, and the load
/// that is added has to stay below 5 %.
const HEDGE_RATIO: f64 = 0.034;

/// Tokens that are saved. A service with few requests can retry a few of them,
/// and a failure after a long quiet time starts no burst.
const MAX_TOKENS: f64 = 5.0;

/// Retries and hedges that a service may still send. Each request adds a
/// fraction of a token and each extra sending takes a whole one. Hedges also
/// count as retries, so that both together stay within the budget of retries.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct RetryBudget {
    retries: f64,
    hedges: f64,
}

impl RetryBudget {
    /// A request is sent for the first time.
    pub(super) fn add_request(&mut self) {
        self.retries = (self.retries + RETRY_RATIO).min(MAX_TOKENS);
        self.hedges = (self.hedges + HEDGE_RATIO).min(MAX_TOKENS);
    }

    /// Takes one retry, if there is one.
    pub(super) fn take_retry(&mut self) -> bool {
        let available = self.retries >= 1.0;
        if available {
            self.retries -= 1.0;
        }
        available
    }

    /// Whether a hedge could be taken.
    pub(super) fn has_hedge(&self) -> bool {
        self.hedges >= 1.0 && self.retries >= 1.0
    }

    /// Takes one hedge, if there is one.
    pub(super) fn take_hedge(&mut self) -> bool {
        let available = self.has_hedge();
        if available {
            self.hedges -= 1.0;
            self.retries -= 1.0;
        }
        available
    }
}
