//! Scenarios and parameters of the simulated endpoints.

/// Number of simulated endpoints.
pub(super) const ENDPOINT_COUNT: usize = 48;

/// Maximum number of requests that an endpoint serves concurrently.
pub(super) const SLOTS: usize = 8;

/// Arrival rates as a share of the capacity.
pub(super) const LOADS: [f64; 3] = [0.5, 0.8, 0.95];

/// Mean service time without disturbance.
pub(super) const MEAN_SERVICE_MICROS: f64 = 10_000.0;

/// Standard deviation of the logarithm of the request size.
pub(super) const SIZE_SIGMA: f64 = 0.3;

/// Standard deviation of the logarithm of the service time for a given request size.
pub(super) const NOISE_SIGMA: f64 = 0.4;

/// Share of attempts that stall, and the multiplier of their service time.
pub(super) const STALL_SHARE_AND_FACTOR: (f64, f64) = (0.01, 5.0);

/// One-way network delay between an entry host and an endpoint.
pub(super) const NETWORK_DELAY_MICROS: u64 = 500;

/// Time between heartbeats.
pub(super) const HEARTBEAT_INTERVAL_MICROS: u64 = 500_000;

/// Deadline of requests, recorded as the latency of requests without a response.
pub(super) const DEADLINE_MICROS: u64 = 1_000_000;

/// Conditions under which the policies are compared.
#[derive(Debug)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    /// Number of entry hosts.
    pub(super) hosts: usize,
    /// Share of requests sent to the first entry host in addition to its even share.
    pub(super) skew: f64,
    /// Whether entry hosts receive each other's endpoint loads.
    pub(super) heartbeats: bool,
    /// Whether requests may be repeated, by a retry or a hedge.
    pub(super) idempotent: bool,
    pub(super) slowdown: Slowdown,
}

/// Slowdown of the endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Slowdown {
    None,
    /// Number of endpoints, the first ones, that are always slower, and the factor.
    Slow(usize, f64),
    /// Share of the time in which batch work slows each endpoint, and the factor.
    Disturbed(f64, f64),
}

const PLAIN: Scenario = Scenario {
    name: "plain",
    hosts: 7,
    skew: 0.0,
    heartbeats: true,
    idempotent: true,
    slowdown: Slowdown::None,
};

const DISTURBED: Scenario = Scenario {
    name: "disturbed",
    slowdown: Slowdown::Disturbed(0.125, 4.0),
    ..PLAIN
};

pub(super) const SCENARIOS: [Scenario; 8] = [
    PLAIN,
    Scenario {
        name: "slow endpoints",
        slowdown: Slowdown::Slow(4, 3.0),
        ..PLAIN
    },
    DISTURBED,
    Scenario {
        name: "disturbed, stale peers",
        heartbeats: false,
        ..DISTURBED
    },
    Scenario {
        name: "disturbed, not idempotent",
        idempotent: false,
        ..DISTURBED
    },
    Scenario {
        name: "one entry host",
        hosts: 1,
        ..PLAIN
    },
    Scenario {
        name: "uneven entry hosts",
        skew: 0.2,
        ..PLAIN
    },
    Scenario {
        name: "uneven, stale peers",
        skew: 0.2,
        heartbeats: false,
        ..PLAIN
    },
];

impl Scenario {
    pub(super) fn is_disturbed(&self) -> bool {
        matches!(self.slowdown, Slowdown::Disturbed(..))
    }

    /// Returns the capacity as an equivalent number of undisturbed slots.
    pub(super) fn capacity(&self) -> f64 {
        let all = (ENDPOINT_COUNT * SLOTS) as f64;
        match self.slowdown {
            Slowdown::None => all,
            Slowdown::Slow(count, factor) => {
                let part = count as f64 / ENDPOINT_COUNT as f64;
                all * (1.0 - part + part / factor)
            }
            Slowdown::Disturbed(part, factor) => all * (1.0 - part + part / factor),
        }
    }
}

pub(super) fn conditions(requests: usize, seeds: u64) -> Vec<String> {
    vec![
        format!("{ENDPOINT_COUNT} endpoints with {SLOTS} slots; load is part of the capacity left by slow endpoints"),
        format!(
            "mean service time {} ms: size of the request (log-normal, {SIZE_SIGMA}) times noise of the endpoint (log-normal, {NOISE_SIGMA}); {} % of attempts take {} times as long",
            MEAN_SERVICE_MICROS / 1e3,
            STALL_SHARE_AND_FACTOR.0 * 100.0,
            STALL_SHARE_AND_FACTOR.1,
        ),
        format!("{requests} requests and {seeds} seeds for each cell, the same for each choice; the first tenth is not counted"),
        "slow endpoints: 4 of 48, 3 times slower; disturbed: each endpoint 1/8 of the time 4 times slower, for a second on average".to_owned(),
        "7 entry hosts except where stated; uneven: a fifth of the requests more at one of them; stale peers: no heartbeat arrives".to_owned(),
        "losing attempts of hedges run to their end at the endpoint; unanswered requests count as 1 s".to_owned(),
    ]
}
