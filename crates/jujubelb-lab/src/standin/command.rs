//! The program `jujubelb-standin`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use clap::Parser;
use eyre::{Context, Result, ensure, eyre};
use indexmap::IndexMap;
use jujubelb::config::{Config, declare};
use jujubelb::model::Span;
use jujubelb::process::StopSignal;

use super::behaviour::Behaviours;
use super::platform::{self, Addresses, Platform, Reality};
use super::summary::Summary;
use super::{control, reality, server};
use crate::bench::Format;

const EXAMPLES: &str = "\
Examples:
  jujubelb-standin examples/minimal
  jujubelb-standin --behaviour behaviour.yaml --summary table examples/minimal
  jujubelb-standin --control 127.0.0.1:7900 examples/ben-salah

A file for --behaviour (factors of what a class declares; all fields are optional):
  classes:
    tidy-up: { size: 1.5, duration: 0.1, fails: false, noise: 0.2 }

Commands to the control address:
  curl -d '{\"cut-worker\": \"worker-1\"}' 127.0.0.1:7900/v1/commands
  curl -d '{\"store\": {\"down\": true}}' 127.0.0.1:7900/v1/commands
  curl -d '{\"store\": {}}' 127.0.0.1:7900/v1/commands
  curl 127.0.0.1:7900/v1/summary
Commands: cut-worker, connect-worker, restart-worker, break-worker, repair-worker,
endpoint-leaves, endpoint-returns, domain-out, domain-in, store {down, delay_ms, lose}.
domain-out and domain-in only tell the ledger what an operator did.";

/// Serves a small stand-in of the platform of a deployment on loopback: the store, the host list,
/// all workers and all endpoints. It runs until SIGTERM or SIGINT.
#[derive(Debug, Parser)]
#[command(name = "jujubelb-standin", version, about, after_help = EXAMPLES)]
pub struct Options {
    /// Declaration files of the deployment, or folders with them.
    #[arg(required = true, value_name = "PATH")]
    paths: Vec<PathBuf>,
    /// Address of the store.
    #[arg(long, default_value = "127.0.0.1:7800", value_name = "ADDRESS")]
    store: SocketAddr,
    /// Address of the host list.
    #[arg(long, default_value = "127.0.0.1:7801", value_name = "ADDRESS")]
    host_list: SocketAddr,
    /// Address for commands; without it there is none.
    #[arg(long, value_name = "ADDRESS")]
    control: Option<SocketAddr>,
    /// Mean service time of endpoints in milliseconds.
    #[arg(long, default_value_t = 5, value_name = "MS", value_parser = clap::value_parser!(u64).range(0..=60_000))]
    service_ms: u64,
    /// File with the real behaviour of task classes.
    #[arg(long, value_name = "FILE")]
    behaviour: Option<PathBuf>,
    /// Print what the ledger shows at the end; the exit code is 1 if there was a violation.
    #[arg(long, value_enum, value_name = "FORMAT")]
    summary: Option<Format>,
}

/// Serves the stand-ins until a stop signal; fails if the printed summary holds violations.
pub fn run(options: &Options) -> Result<()> {
    let stop = StopSignal::install()?;
    let config = read_config(&options.paths)?;
    let behaviours = match &options.behaviour {
        Some(path) => reality::read(path)?,
        None => Behaviours::default(),
    };
    let addresses = Addresses {
        store: options.store,
        hosts: options.host_list,
    };
    let reality = Reality {
        behaviours,
        service: Span::from_millis(options.service_ms),
    };
    let platform = Arc::new(Platform::start(addresses, &config, &reality)?);
    let control = match options.control {
        Some(address) => Some(serve_control(address, &platform)?),
        None => None,
    };
    log::info!(
        store:% = options.store, host_list:% = options.host_list, workers = config.workers.len();
        "the stand-ins are serving"
    );
    stop.wait();
    if let Some(runtime) = control {
        runtime.shutdown_background();
    }
    print_summary(&platform, options.summary)
}

/// Serves the control address on threads of its own, so that a slow store doesn't delay commands.
fn serve_control(address: SocketAddr, platform: &Arc<Platform>) -> Result<tokio::runtime::Runtime> {
    let address = platform::require_loopback(address)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("control")
        .enable_all()
        .build()
        .wrap_err("can't start the thread of the control address")?;
    let rocket = control::mount(server::build(address), Arc::clone(platform));
    runtime.block_on(server::launch(rocket)).map(drop)?;
    Ok(runtime)
}

fn print_summary(platform: &Platform, format: Option<Format>) -> Result<()> {
    let Some(format) = format else {
        return Ok(());
    };
    let summary = Summary::of(platform);
    println!("{}", summary.export(format)?);
    let violations = summary.violations();
    ensure!(violations == 0, "{violations} violations, see the summary");
    Ok(())
}

fn read_config(paths: &[PathBuf]) -> Result<Config> {
    let mut files = IndexMap::new();
    for path in paths {
        for path in declaration_files(path)? {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            let text = std::fs::read_to_string(&path)
                .wrap_err_with(|| format!("{} can't be read", path.display()))?;
            files.insert(name.into_owned(), text);
        }
    }
    declare::check(&files).map_err(|problems| {
        let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
        eyre!("the declarations have errors:\n{}", lines.join("\n"))
    })
}

/// Returns `path` itself if it is a file, or the sorted YAML files of a folder.
fn declaration_files(path: &Path) -> Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries =
        std::fs::read_dir(path).wrap_err_with(|| format!("{} can't be read", path.display()))?;
    let mut list = Vec::new();
    for entry in entries {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "yaml" || e == "yml") {
            list.push(path);
        }
    }
    list.sort();
    ensure!(!list.is_empty(), "{} holds no .yaml file", path.display());
    Ok(list)
}
