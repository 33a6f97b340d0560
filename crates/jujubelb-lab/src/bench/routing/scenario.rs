//! What the fake endpoints are put through.

/// Endpoints.
pub(super) const ENDPOINTS: usize = 48;

/// Requests that an endpoint serves at a time.
pub(super) const SLOTS: usize = 8;

/// Part of the capacity that the arrivals use.
pub(super) const LOADS: [f64; 3] = [0.5, 0.8, 0.95];

/// Mean service time without disturbance in microseconds.
pub(super) const SERVICE: f64 = 10_000.0;

/// Spread of the logarithm of the size of a request, the same at each endpoint.
pub(super) const SIZE_SPREAD: f64 = 0.3;

/// Spread of the logarithm of the time that an endpoint takes for a size.
pub(super) const NOISE_SPREAD: f64 = 0.4;

/// Part of the attempts that stall, and how much longer they take.
pub(super) const STALLS: (f64, f64) = (0.01, 5.0);

/// One way between an entry host and an endpoint, in microseconds.
pub(super) const DELAY: u64 = 500;

/// Time between heartbeats in microseconds.
pub(super) const HEARTBEAT: u64 = 500_000;

/// Deadline of requests in microseconds; unanswered requests count as this long.
pub(super) const DEADLINE: u64 = 1_000_000;

/// Conditions under which the choices are compared.
#[derive(Debug)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    /// Entry hosts.
    pub(super) hosts: usize,
    /// Part of the requests that arrive at the first entry host, beyond its even part.
    pub(super) skew: f64,
    /// Whether heartbeats arrive.
    pub(super) heartbeats: bool,
    /// Whether requests may be repeated.
    pub(super) idempotent: bool,
    pub(super) trouble: Trouble,
}

/// Slow endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Trouble {
    None,
    /// The first endpoints are slower by a factor all the time.
    Slow(usize, f64),
    /// Batch work comes and goes: a part of the time each endpoint is slower by a factor.
    Disturbed(f64, f64),
}

const PLAIN: Scenario = Scenario {
    name: "plain",
    hosts: 7,
    skew: 0.0,
    heartbeats: true,
    idempotent: true,
    trouble: Trouble::None,
};

const DISTURBED: Scenario = Scenario {
    name: "disturbed",
    trouble: Trouble::Disturbed(0.125, 4.0),
    ..PLAIN
};

pub(super) const ALL: [Scenario; 8] = [
    PLAIN,
    Scenario {
        name: "slow endpoints",
        trouble: Trouble::Slow(4, 3.0),
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
        matches!(self.trouble, Trouble::Disturbed(..))
    }

    /// Capacity in undisturbed slots.
    pub(super) fn capacity(&self) -> f64 {
        let all = (ENDPOINTS * SLOTS) as f64;
        match self.trouble {
            Trouble::None => all,
            Trouble::Slow(count, factor) => {
                let part = count as f64 / ENDPOINTS as f64;
                all * (1.0 - part + part / factor)
            }
            Trouble::Disturbed(part, factor) => all * (1.0 - part + part / factor),
        }
    }
}

pub(super) fn conditions(requests: usize, seeds: u64) -> Vec<String> {
    vec![
        format!("{ENDPOINTS} endpoints with {SLOTS} slots; load is part of the capacity left by slow endpoints"),
        format!(
            "mean service time {} ms: size of the request (log-normal, {SIZE_SPREAD}) times noise of the endpoint (log-normal, {NOISE_SPREAD}); {} % of attempts take {} times as long",
            SERVICE / 1e3,
            STALLS.0 * 100.0,
            STALLS.1,
        ),
        format!("{requests} requests and {seeds} seeds for each cell, the same for each choice; the first tenth is not counted"),
        "slow endpoints: 4 of 48, 3 times slower; disturbed: each endpoint 1/8 of the time 4 times slower, for a second on average".to_owned(),
        "7 entry hosts except where stated; uneven: a fifth of the requests more at one of them; stale peers: no heartbeat arrives".to_owned(),
        "losing attempts of hedges run to their end at the endpoint; unanswered requests count as 1 s".to_owned(),
    ]
}
