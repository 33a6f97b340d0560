//! `jujubectl top`: overview of domains, shards, services, teams and processes.

use std::time::Duration;

use serde::Serialize;

use crate::config::format;
use crate::ctl::CtlError;
use crate::ctl::cli::Top;
use crate::ctl::client::Client;
use crate::ctl::export::{Render, Style, export, format_table};
use crate::ctl::options::Options;
use crate::ctl::terminal::Terminal;
use crate::model::{Bytes, Millicores, Resources, Span};
use crate::operator::api::{self, NodeTop, TopView};

/// Interval between two reads with `--follow`.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Escape sequence that clears the screen and moves the cursor to its top left corner.
const CLEAR_SCREEN: &str = "\u{1b}[2J\u{1b}[H";

/// Output of `top`; its tables fit into 80 columns.
#[derive(Serialize)]
#[serde(transparent)]
pub(in crate::ctl) struct Overview(pub(in crate::ctl) TopView);

impl Render for Overview {
    fn text(&self, style: &Style) -> String {
        let view = &self.0;
        let mut parts = vec![format!(
            "revision {}, seen by {}, {}",
            view.revision,
            view.node,
            age(view.age)
        )];
        parts.push(domains(view, style));
        parts.push(shards(view, style));
        parts.push(services(view, style));
        parts.push(teams(view, style));
        parts.push(nodes(view, style));
        if !view.quarantined.is_empty() {
            let names: Vec<&str> = view.quarantined.iter().map(|w| w.as_str()).collect();
            parts.push(format!("in quarantine: {}", names.join(", ")));
        }
        parts.retain(|p| !p.is_empty());
        parts.join("\n\n")
    }
}

fn age(age: Option<Span>) -> String {
    match age {
        Some(age) => format!("confirmed {age} ago"),
        None => "without contact to the store".into(),
    }
}

fn domains(view: &TopView, style: &Style) -> String {
    let row = |d: &api::DomainTop| {
        vec![
            d.domain.to_string(),
            d.region.to_string(),
            if d.out { "out" } else { "in" }.to_owned(),
            d.workers.to_string(),
            cores(d.capacity.cpu),
            memory_size(d.capacity.memory),
        ]
    };
    let header = ["DOMAIN", "REGION", "STATE", "WORKERS", "CORES", "MEMORY"];
    section(style, &header, view.domains.iter().map(row).collect())
}

fn shards(view: &TopView, style: &Style) -> String {
    let row = |s: &crate::shard::ShardSummary| {
        vec![
            s.shard.to_string(),
            s.owner.to_string(),
            s.epoch.to_string(),
            s.running.to_string(),
            s.queued.to_string(),
            cores(s.free.cpu),
            memory_size(s.free.memory),
        ]
    };
    let header = ["SHARD", "OWNER", "EPOCH", "RUN", "QUEUE", "FREE", "MEMORY"];
    section(style, &header, view.shards.iter().map(row).collect())
}

fn services(view: &TopView, style: &Style) -> String {
    let row = |s: &api::ServiceTop| {
        vec![
            s.service.to_string(),
            s.endpoints.to_string(),
            s.rate.to_string(),
            s.refused.to_string(),
            s.inflight.to_string(),
            s.p50.to_string(),
            s.p99.to_string(),
        ]
    };
    let header = [
        "SERVICE",
        "ENDPOINTS",
        "REQ/S",
        "REFUSED/S",
        "ACTIVE",
        "P50",
        "P99",
    ];
    section(style, &header, view.services.iter().map(row).collect())
}

fn teams(view: &TopView, style: &Style) -> String {
    let row = |t: &crate::shard::TeamUsage| {
        vec![
            t.team.to_string(),
            percentage(t.used.cpu.0, t.share.cpu.0),
            cores(t.used.cpu),
            memory_size(t.used.memory),
            quota(&t.share),
        ]
    };
    let header = ["TEAM", "USED", "CORES", "MEMORY", "QUOTA"];
    section(style, &header, view.teams.iter().map(row).collect())
}

fn nodes(view: &TopView, style: &Style) -> String {
    let row = |n: &NodeTop| {
        vec![
            n.node.to_string(),
            n.domain.to_string(),
            state(n).to_owned(),
            n.revision.to_string(),
            n.age.map_or_else(|| "-".into(), |a| a.to_string()),
        ]
    };
    let header = ["PROCESS", "DOMAIN", "STATE", "REVISION", "CONFIRMED"];
    section(style, &header, view.nodes.iter().map(row).collect())
}

fn state(node: &NodeTop) -> &'static str {
    match (node.alive, node.draining) {
        (false, _) => "dead",
        (true, true) => "draining",
        (true, false) => "alive",
    }
}

fn section(style: &Style, header: &[&str], rows: Vec<Vec<String>>) -> String {
    match rows.is_empty() {
        true => String::new(),
        false => format_table(style, header, rows),
    }
}

fn cores(cpu: Millicores) -> String {
    format!("{:.1}", cpu.0 as f64 / 1e3)
}

fn memory_size(memory: Bytes) -> String {
    format::bytes(memory)
}

fn quota(size: &Resources) -> String {
    format::resources(size)
}

fn percentage(used: u64, share: u64) -> String {
    match share {
        0 => "-".into(),
        share => format!("{:.0} %", used as f64 * 100.0 / share as f64),
    }
}

pub(super) fn run(args: &Top, options: &Options, terminal: &mut Terminal) -> Result<(), CtlError> {
    let client = Client::new(options)?;
    loop {
        let view: TopView = client.get(api::TOP, &[])?;
        if args.follow && terminal.interactive {
            terminal.write(CLEAR_SCREEN)?;
        }
        export(options.format, &Overview(view), terminal)?;
        if !args.follow {
            return Ok(());
        }
        terminal.flush()?;
        std::thread::sleep(REFRESH_INTERVAL);
    }
}
