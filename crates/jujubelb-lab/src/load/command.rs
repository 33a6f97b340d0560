//! The program `jujubelb-load`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use clap::Parser;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use eyre::{Context, Result, bail, ensure};
use indexmap::IndexMap;
use jujubelb::model::Span;
use serde::Serialize;
use signal_hook::consts::{SIGINT, SIGTERM};

use super::{Load, Outcome, Outcomes, Plan, Sort};
use crate::bench::Format;

const EXAMPLES: &str = "\
Examples:
  jujubelb-load --entry 127.0.0.1:8000 --service hello
  jujubelb-load --entry 127.0.0.1:8000 --entry 127.0.0.1:8001 --service hello --rate 200 --seconds 30
  jujubelb-load --entry 127.0.0.1:8000 --service hello --mix urgent=8,keyed=1,once=1 --format json

Sorts of requests: urgent and batch (idempotent), once (non-idempotent, not repeated),
keyed (non-idempotent with a key, repeated through other entry processes).
Ends are the numbers of result codes, `not sent` or `connection broken`.";

/// Sends requests at random times to entry processes on loopback and prints latency and ends.
#[derive(Debug, Parser)]
#[command(name = "jujubelb-load", version, about, after_help = EXAMPLES)]
pub struct Options {
    /// Callers' address of an entry process; may be repeated.
    #[arg(long = "entry", required = true, value_name = "ADDRESS", value_parser = loopback)]
    entries: Vec<SocketAddr>,
    /// Service.
    #[arg(long)]
    service: String,
    /// Requests a second.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=2_000))]
    rate: u32,
    /// Time during which requests are sent, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    seconds: u64,
    /// Deadline of each request in milliseconds.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    deadline_ms: u64,
    /// Shares of the sorts of requests.
    #[arg(long, default_value = "urgent=7,batch=1,once=1,keyed=1", value_name = "SORT=SHARE,...", value_parser = mix)]
    mix: Mix,
    /// Seed of arrivals, sorts and entry processes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How the result is printed.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
}

/// Shares of the sorts of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Mix(Vec<(Sort, u32)>);

fn loopback(text: &str) -> Result<SocketAddr> {
    let address: SocketAddr = text.parse().wrap_err("name an IP address and a port")?;
    ensure!(
        address.ip().is_loopback(),
        "not a loopback address; load is sent to loopback addresses only"
    );
    Ok(address)
}

fn mix(text: &str) -> Result<Mix> {
    let mut shares = Vec::new();
    for part in text.split(',') {
        let (sort, share) = part.split_once('=').unwrap_or((part, "1"));
        let sort = match sort.trim() {
            "urgent" => Sort::Urgent,
            "batch" => Sort::Batch,
            "once" => Sort::Once,
            "keyed" => Sort::Keyed,
            other => bail!("{other:?} is no sort; choose urgent, batch, once or keyed"),
        };
        let share: u16 = share.trim().parse().wrap_err("a share is a whole number")?;
        shares.push((sort, share.into()));
    }
    ensure!(
        shares.iter().any(|(_, share)| *share > 0),
        "all shares are 0; name one above 0"
    );
    Ok(Mix(shares))
}

/// Results of one sort.
#[derive(Debug, Serialize)]
struct Line {
    sort: Sort,
    requests: u64,
    answered: u64,
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
    max_ms: f64,
    ends: IndexMap<String, u64>,
}

impl Line {
    fn new(sort: Sort, outcome: &Outcome) -> Self {
        let ms = |micros: u64| micros as f64 / 1e3;
        let latency = &outcome.latency;
        let mut ends = outcome.ends.clone();
        ends.sort_keys();
        Self {
            sort,
            requests: ends.values().sum(),
            answered: latency.len(),
            p50_ms: ms(latency.value_at_quantile(0.5)),
            p95_ms: ms(latency.value_at_quantile(0.95)),
            p99_ms: ms(latency.value_at_quantile(0.99)),
            max_ms: ms(latency.max()),
            ends,
        }
    }

    fn cells(&self) -> [String; 8] {
        let ends: Vec<_> = self.ends.iter().map(|(k, n)| format!("{k}: {n}")).collect();
        let ms = |value: f64| format!("{value:.1}");
        [
            format!("{:?}", self.sort).to_lowercase(),
            self.requests.to_string(),
            self.answered.to_string(),
            ms(self.p50_ms),
            ms(self.p95_ms),
            ms(self.p99_ms),
            ms(self.max_ms),
            ends.join(", "),
        ]
    }
}

/// Runs the program.
pub fn run(options: &Options) -> Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let plan = Plan {
        entries: options.entries.clone(),
        service: options.service.clone(),
        rate: options.rate,
        deadline: Span::from_millis(options.deadline_ms),
        mix: options.mix.0.clone(),
        seed: options.seed,
    };
    let load = Load::new(plan, None)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .wrap_err("can't start the load's threads")?;
    let end = Instant::now() + Duration::from_secs(options.seconds);
    runtime.block_on(load.run(|| stop.load(Ordering::Relaxed) || Instant::now() >= end));
    println!("{}", export(&load.take(), options.format)?);
    Ok(())
}

fn export(outcomes: &Outcomes, format: Format) -> Result<String> {
    let mut lines: Vec<_> = outcomes.iter().map(|(s, o)| Line::new(*s, o)).collect();
    lines.sort_by_key(|line| line.sort);
    match format {
        Format::Json => Ok(serde_json::to_string_pretty(&lines)?),
        Format::Table => {
            let mut grid = Table::new();
            grid.load_preset(ASCII_MARKDOWN).set_header([
                "sort", "requests", "answered", "p50 ms", "p95 ms", "p99 ms", "max ms", "ends",
            ]);
            for line in &lines {
                grid.add_row(line.cells());
            }
            Ok(grid.to_string())
        }
    }
}

#[cfg(test)]
mod tests;
