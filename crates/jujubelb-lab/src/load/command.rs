//! Command line of `jujubelb-load`.

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

use super::{LoadGenerator, LoadPlan, RequestKind, RequestStats, StatsByKind};
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
    #[arg(long = "entry", required = true, value_name = "ADDRESS", value_parser = parse_loopback)]
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
    #[arg(long, default_value = "urgent=7,batch=1,once=1,keyed=1", value_name = "SORT=SHARE,...", value_parser = parse_mix)]
    mix: Mix,
    /// Seed of arrivals, sorts and entry processes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How the result is printed.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
}

/// Relative share of each request kind; at least one is above 0.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Mix(Vec<(RequestKind, u32)>);

fn parse_loopback(text: &str) -> Result<SocketAddr> {
    let address: SocketAddr = text
        .parse()
        .wrap_err("expected an IP address and a port, such as 127.0.0.1:8000")?;
    ensure!(
        address.ip().is_loopback(),
        "not a loopback address; load is sent to loopback addresses only"
    );
    Ok(address)
}

fn parse_mix(text: &str) -> Result<Mix> {
    let mut shares = Vec::new();
    for part in text.split(',') {
        let (kind, share) = part.split_once('=').unwrap_or((part, "1"));
        let kind = match kind.trim() {
            "urgent" => RequestKind::Urgent,
            "batch" => RequestKind::Batch,
            "once" => RequestKind::Once,
            "keyed" => RequestKind::Keyed,
            other => {
                bail!("unknown sort of request {other:?}; choose urgent, batch, once or keyed")
            }
        };
        let share: u16 = share
            .trim()
            .parse()
            .wrap_err("a share must be a whole number from 0 to 65535")?;
        shares.push((kind, share.into()));
    }
    ensure!(
        shares.iter().any(|(_, share)| *share > 0),
        "all shares are 0; at least one must be above 0"
    );
    Ok(Mix(shares))
}

/// Row of the result table, and its JSON form: the statistics of one request kind.
#[derive(Debug, Serialize)]
struct ReportRow {
    #[serde(rename = "sort")]
    kind: RequestKind,
    requests: u64,
    answered: u64,
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
    max_ms: f64,
    #[serde(rename = "ends")]
    outcomes: IndexMap<String, u64>,
}

impl ReportRow {
    fn new(kind: RequestKind, kind_stats: &RequestStats) -> Self {
        let ms = |micros: u64| micros as f64 / 1e3;
        let latency = &kind_stats.latency;
        let mut outcomes = kind_stats.outcomes.clone();
        outcomes.sort_keys();
        Self {
            kind,
            requests: outcomes.values().sum(),
            answered: latency.len(),
            p50_ms: ms(latency.value_at_quantile(0.5)),
            p95_ms: ms(latency.value_at_quantile(0.95)),
            p99_ms: ms(latency.value_at_quantile(0.99)),
            max_ms: ms(latency.max()),
            outcomes,
        }
    }

    fn cells(&self) -> [String; 8] {
        let outcomes: Vec<_> = self
            .outcomes
            .iter()
            .map(|(k, n)| format!("{k}: {n}"))
            .collect();
        let ms = |value: f64| format!("{value:.1}");
        [
            format!("{:?}", self.kind).to_lowercase(),
            self.requests.to_string(),
            self.answered.to_string(),
            ms(self.p50_ms),
            ms(self.p95_ms),
            ms(self.p99_ms),
            ms(self.max_ms),
            outcomes.join(", "),
        ]
    }
}

/// Sends the load until its time is over or SIGINT or SIGTERM arrives, then prints the results.
pub fn run(options: &Options) -> Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let plan = LoadPlan {
        entries: options.entries.clone(),
        service: options.service.clone(),
        rate: options.rate,
        deadline: Span::from_millis(options.deadline_ms),
        mix: options.mix.0.clone(),
        seed: options.seed,
    };
    let load = LoadGenerator::new(plan, None)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .wrap_err("can't start the threads of the load generator")?;
    let end = Instant::now() + Duration::from_secs(options.seconds);
    runtime.block_on(load.run(|| stop.load(Ordering::Relaxed) || Instant::now() >= end));
    println!("{}", export(&load.take_stats(), options.format)?);
    Ok(())
}

fn export(stats: &StatsByKind, format: Format) -> Result<String> {
    let mut rows: Vec<_> = stats
        .iter()
        .map(|(kind, s)| ReportRow::new(*kind, s))
        .collect();
    rows.sort_by_key(|row| row.kind);
    match format {
        Format::Json => Ok(serde_json::to_string_pretty(&rows)?),
        Format::Table => {
            let mut table = Table::new();
            table.load_preset(ASCII_MARKDOWN).set_header([
                "sort", "requests", "answered", "p50 ms", "p95 ms", "p99 ms", "max ms", "ends",
            ]);
            for row in &rows {
                table.add_row(row.cells());
            }
            Ok(table.to_string())
        }
    }
}

#[cfg(test)]
mod tests;
