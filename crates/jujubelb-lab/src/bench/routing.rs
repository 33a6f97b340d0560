//! Measures request latency under several endpoint selection policies.
//!
//! The real router runs against a discrete-event simulation of the endpoints.
//! Arrivals, sizes and disturbances use the same seeds for every policy.

mod fleet;
mod scenario;
mod simulation;

#[cfg(test)]
mod tests;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use jujubelb::route::balance::{Adaptive, BalancePolicy, LeastRequests, RoundRobin, TwoChoices};

use super::report::Target;
use super::{Cell, Measurement, Report, Table};
use scenario::{LOADS, Scenario};
use simulation::{Outcome, Simulation};

/// Maximum number of threads that run cells in parallel.
const MAX_THREADS: usize = 4;

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

/// An endpoint selection policy and the function that simulates it.
struct PolicyRunner {
    name: &'static str,
    run: fn(&Scenario, f64, u64, usize) -> Outcome,
}

/// The policies to compare. The first one is the baseline of all ratios.
const POLICIES: [PolicyRunner; 4] = [
    PolicyRunner {
        name: "two choices",
        run: run::<TwoChoices>,
    },
    PolicyRunner {
        name: "round robin",
        run: run::<RoundRobin>,
    },
    PolicyRunner {
        name: "least requests",
        run: run::<LeastRequests>,
    },
    PolicyRunner {
        name: "product",
        run: run::<Adaptive>,
    },
];

/// Index in `POLICIES` of the policy that the product uses.
const PRODUCT_INDEX: usize = 3;

fn run<B: BalancePolicy>(scenario: &Scenario, load: f64, seed: u64, requests: usize) -> Outcome {
    Simulation::<B>::new(scenario, load, seed, requests).run()
}

/// Outcomes of one scenario at one load, in the order of `POLICIES`.
struct Row {
    scenario: &'static Scenario,
    load: f64,
    outcomes: Vec<Outcome>,
}

impl Routing {
    /// Options of a short run that only checks that the measurement works.
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
            tables: vec![latency_table(&rows), hedging_table(&rows)],
            targets: targets(&rows),
        }
    }
}

impl Routing {
    fn rows(&self) -> Vec<Row> {
        let scenarios = scenario::SCENARIOS
            .iter()
            .filter(|s| s.name.contains(&self.only));
        let pairs: Vec<_> = scenarios
            .flat_map(|s| LOADS.iter().map(move |load| (s, *load)))
            .collect();
        let cells: Vec<_> = (0..pairs.len() * POLICIES.len()).collect();
        let next = AtomicUsize::new(0);
        let done = Mutex::new(vec![None; cells.len()]);
        std::thread::scope(|scope| {
            for _ in 0..MAX_THREADS {
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

    fn cell(&self, policy: &PolicyRunner, scenario: &Scenario, load: f64) -> Outcome {
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

    fn leading_cells(&self) -> Vec<Cell> {
        let load = format!("{:.0} %", self.load * 100.0);
        vec![self.scenario.name.to_owned().into(), load.into()]
    }
}

fn latency_table(rows: &[Row]) -> Table {
    let mut columns = vec!["scenario".to_owned(), "load".to_owned()];
    columns.extend(QUANTILES.map(|(name, _)| format!("{} {name} ms", POLICIES[0].name)));
    for policy in &POLICIES[1..] {
        columns.extend(QUANTILES.map(|(name, _)| format!("{} {name}", policy.name)));
    }
    let row = |row: &Row| {
        let mut cells = row.leading_cells();
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

fn hedging_table(rows: &[Row]) -> Table {
    let mut columns = ["scenario", "load", "hedges added %", "busy time added %"]
        .map(str::to_owned)
        .to_vec();
    columns.extend(POLICIES.map(|p| format!("{} unanswered %", p.name)));
    let row = |row: &Row| {
        let mut cells = row.leading_cells();
        let product = &row.outcomes[PRODUCT_INDEX];
        cells.push(Cell::Number(product.hedge_ratio() * 100.0));
        cells.push(Cell::Number(product.hedge_time_ratio() * 100.0));
        let unanswered = row
            .outcomes
            .iter()
            .map(|o| Cell::Number(o.unanswered() * 100.0));
        cells.extend(unanswered);
        cells
    };
    Table {
        title: "Load added by hedges, and requests without an answer".to_owned(),
        columns,
        rows: rows.iter().map(row).collect(),
    }
}

/// Returns the largest ratio of the product's p99.9 to the baseline's at 80 % load
/// with disturbed endpoints.
fn worst_tail_ratio(rows: &[Row], idempotent: bool) -> Option<f64> {
    let disturbed = rows.iter().filter(|r| {
        r.scenario.is_disturbed() && r.scenario.idempotent == idempotent && r.load == 0.8
    });
    disturbed
        .map(|r| r.ratio(PRODUCT_INDEX, 0.999))
        .reduce(f64::max)
}

fn targets(rows: &[Row]) -> Vec<Target> {
    let tail_target = |requests: &str, idempotent| {
        let worst_tail_ratio = worst_tail_ratio(rows, idempotent)?;
        Some(Target {
            target: format!(
                "p99.9 at 80 % load with disturbed endpoints at most half of two choices, {requests}"
            ),
            measured: format!("{worst_tail_ratio:.2}"),
            met: worst_tail_ratio <= 0.5,
        })
    };
    let worst = rows
        .iter()
        .flat_map(|r| QUANTILES.map(|(name, q)| (r.ratio(PRODUCT_INDEX, q), r, name)))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    let added_load = rows.iter().map(|r| {
        let product = &r.outcomes[PRODUCT_INDEX];
        product.hedge_ratio().max(product.hedge_time_ratio())
    });
    let added_load = added_load.fold(0.0, f64::max);
    let mut targets = vec![Target {
        target: "hedges add less than 5 % load".to_owned(),
        measured: format!("{:.2} %", added_load * 100.0),
        met: added_load < 0.05,
    }];
    targets.extend(tail_target("idempotent requests", true));
    targets.extend(tail_target("requests that can't be hedged", false));
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
