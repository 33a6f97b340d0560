//! Tail latency of requests by the choice of endpoints.
//!
//! The real router is driven against an event-driven fake of the endpoints.
//! Arrivals, sizes and disturbances come from the same seeds for each choice.

mod fleet;
mod scenario;
mod world;

#[cfg(test)]
mod tests;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use jujubelb::route::balance::{Adaptive, BalancePolicy, LeastRequests, RoundRobin, TwoChoices};

use super::report::Target;
use super::{Cell, Measurement, Report, Table};
use scenario::{LOADS, Scenario};
use world::{Outcome, World};

/// Most threads that run cells at the same time.
const THREADS: usize = 4;

/// Options of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct Routing {
    /// Requests of each cell and seed.
    #[arg(long, default_value_t = 150_000)]
    requests: usize,
    /// Number of seeds over which each cell is run.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Run only scenarios whose name contains this text.
    #[arg(long, default_value = "")]
    only: String,
}

/// A choice of endpoints with the function that runs it.
struct Policy {
    name: &'static str,
    run: fn(&Scenario, f64, u64, usize) -> Outcome,
}

/// The baseline comes first.
const POLICIES: [Policy; 4] = [
    Policy {
        name: "two choices",
        run: run::<TwoChoices>,
    },
    Policy {
        name: "round robin",
        run: run::<RoundRobin>,
    },
    Policy {
        name: "least requests",
        run: run::<LeastRequests>,
    },
    Policy {
        name: "product",
        run: run::<Adaptive>,
    },
];

const PRODUCT: usize = 3;

fn run<B: BalancePolicy>(scenario: &Scenario, load: f64, seed: u64, requests: usize) -> Outcome {
    World::<B>::new(scenario, load, seed, requests).run()
}

/// All outcomes of one scenario at one load, in the order of the policies.
struct Row {
    scenario: &'static Scenario,
    load: f64,
    outcomes: Vec<Outcome>,
}

impl Routing {
    /// A short run, which shows only that the measurement works.
    pub fn quick() -> Self {
        Self {
            requests: 2_000,
            seeds: 1,
            only: String::new(),
        }
    }
}

impl Measurement for Routing {
    fn run(&self) -> Report {
        let rows = self.rows();
        Report {
            title: "Latency of urgent requests by choice of endpoints".to_owned(),
            conditions: scenario::conditions(self.requests, self.seeds),
            tables: vec![ratios(&rows), product(&rows)],
            targets: targets(&rows),
        }
    }
}

impl Routing {
    fn rows(&self) -> Vec<Row> {
        let scenarios = scenario::ALL.iter().filter(|s| s.name.contains(&self.only));
        let pairs: Vec<_> = scenarios
            .flat_map(|s| LOADS.iter().map(move |load| (s, *load)))
            .collect();
        let cells: Vec<_> = (0..pairs.len() * POLICIES.len()).collect();
        let next = AtomicUsize::new(0);
        let done = Mutex::new(vec![None; cells.len()]);
        std::thread::scope(|scope| {
            for _ in 0..THREADS {
                scope.spawn(|| {
                    while let Some(cell) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let (scenario, load) = pairs[cell / POLICIES.len()];
                        let policy = &POLICIES[cell % POLICIES.len()];
                        let outcome = self.cell(policy, scenario, load);
                        done.lock().unwrap_or_else(PoisonError::into_inner)[*cell] = Some(outcome);
                    }
                });
            }
        });
        let done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
        let mut outcomes = done.into_iter().flatten();
        let row = |(scenario, load)| Row {
            scenario,
            load,
            outcomes: outcomes.by_ref().take(POLICIES.len()).collect(),
        };
        pairs.into_iter().map(row).collect()
    }

    fn cell(&self, policy: &Policy, scenario: &Scenario, load: f64) -> Outcome {
        let outcomes =
            (0..self.seeds).map(|seed| (policy.run)(scenario, load, seed, self.requests));
        outcomes.reduce(Outcome::merge).unwrap_or_default()
    }
}

const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)];

impl Row {
    fn ratio(&self, policy: usize, quantile: f64) -> f64 {
        let baseline = self.outcomes[0].quantile(quantile);
        self.outcomes[policy].quantile(quantile) / baseline
    }

    fn head(&self) -> Vec<Cell> {
        let load = format!("{:.0} %", self.load * 100.0);
        vec![self.scenario.name.to_owned().into(), load.into()]
    }
}

fn ratios(rows: &[Row]) -> Table {
    let mut columns = vec!["scenario".to_owned(), "load".to_owned()];
    columns.extend(QUANTILES.map(|(name, _)| format!("{} {name} ms", POLICIES[0].name)));
    for policy in &POLICIES[1..] {
        columns.extend(QUANTILES.map(|(name, _)| format!("{} {name}", policy.name)));
    }
    let row = |row: &Row| {
        let mut cells = row.head();
        cells.extend(QUANTILES.map(|(_, q)| Cell::Number(row.outcomes[0].quantile(q) / 1_000.0)));
        for policy in 1..POLICIES.len() {
            cells.extend(QUANTILES.map(|(_, q)| Cell::Number(row.ratio(policy, q))));
        }
        cells
    };
    Table {
        title: "Milliseconds for two choices, and ratios to it for the others".to_owned(),
        columns,
        rows: rows.iter().map(row).collect(),
    }
}

fn product(rows: &[Row]) -> Table {
    let mut columns = ["scenario", "load", "hedges added %", "busy time added %"]
        .map(str::to_owned)
        .to_vec();
    columns.extend(POLICIES.map(|p| format!("{} unanswered %", p.name)));
    let row = |row: &Row| {
        let mut cells = row.head();
        let product = &row.outcomes[PRODUCT];
        cells.push(Cell::Number(product.hedged() * 100.0));
        cells.push(Cell::Number(product.busy_added() * 100.0));
        let lost = row.outcomes.iter().map(|o| Cell::Number(o.lost() * 100.0));
        cells.extend(lost);
        cells
    };
    Table {
        title: "Load added by hedges, and requests without an answer".to_owned(),
        columns,
        rows: rows.iter().map(row).collect(),
    }
}

/// Largest ratio of the product's p99.9 at 80 % load with disturbed endpoints.
fn tail(rows: &[Row], idempotent: bool) -> Option<f64> {
    let disturbed = rows.iter().filter(|r| {
        r.scenario.is_disturbed() && r.scenario.idempotent == idempotent && r.load == 0.8
    });
    disturbed.map(|r| r.ratio(PRODUCT, 0.999)).reduce(f64::max)
}

fn targets(rows: &[Row]) -> Vec<Target> {
    let half = |requests: &str, idempotent| {
        let tail = tail(rows, idempotent)?;
        Some(Target {
            target: format!(
                "p99.9 at 80 % load with disturbed endpoints at most half of two choices, {requests}"
            ),
            measured: format!("{tail:.2}"),
            met: tail <= 0.5,
        })
    };
    let worst = rows
        .iter()
        .flat_map(|r| QUANTILES.map(|(name, q)| (r.ratio(PRODUCT, q), r, name)))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    let hedged = rows.iter().map(|r| {
        let product = &r.outcomes[PRODUCT];
        product.hedged().max(product.busy_added())
    });
    let hedged = hedged.fold(0.0, f64::max);
    let mut targets = vec![Target {
        target: "hedges add less than 5 % load".to_owned(),
        measured: format!("{:.2} %", hedged * 100.0),
        met: hedged < 0.05,
    }];
    targets.extend(half("idempotent requests", true));
    targets.extend(half("requests that can't be hedged", false));
    if let Some((ratio, row, quantile)) = worst {
        targets.push(Target {
            target: "nowhere more than 5 % worse than two choices".to_owned(),
            measured: format!(
                "{ratio:.2} at {quantile}, {}, {:.0} % load",
                row.scenario.name,
                row.load * 100.0
            ),
            met: ratio <= 1.05,
        });
    }
    targets
}
