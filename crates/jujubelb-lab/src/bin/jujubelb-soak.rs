//! Soaks real `jujubelb-node` processes with faults from outside, against an emulated platform.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use eyre::{Result, WrapErr, eyre};
use jujubelb_lab::soak::{Options, run};

/// Runs real processes against an emulated platform, with faults from outside, and checks
/// what clients and workers see.
///
/// The exit code is 1 if a rule was broken; the logs of that seed are kept.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Examples:\n  jujubelb-soak --seed 7\n  jujubelb-soak --seed 100 --seeds 50 --seconds 40"
)]
struct Cli {
    /// First seed of the load and of the faults. Seeds from 10000 on have silent connections,
    /// seeds from 20000 on serving jobs and bursts of best-effort jobs; of the latter, only odd
    /// seeds have faults beside them. Seeds from 30000 on have series of silences beside bursts,
    /// seeds from 40000 on restarts of workers. Seeds from 50000 on have customers, whose keys and
    /// limits change, and no bursts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds in which faults begin.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Number of hosts.
    #[arg(long, default_value_t = 3)]
    hosts: usize,
    /// Number of workers.
    #[arg(long, default_value_t = 6)]
    workers: usize,
    /// Program of the hosts; by default, the one beside this program.
    #[arg(long, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Folder for the logs of the processes.
    #[arg(long, value_name = "DIR", default_value = "target/soak")]
    logs: PathBuf,
    /// Plays no faults.
    #[arg(long)]
    calm: bool,
    /// Keeps the logs and the history of seeds that have broken no rule.
    #[arg(long)]
    keep: bool,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    match run_seeds(&Cli::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(broken) => {
            eprintln!("{broken} seeds have broken a rule");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Returns the number of seeds that have broken a rule.
fn run_seeds(cli: &Cli) -> Result<usize> {
    let node = match &cli.node {
        Some(node) => node.clone(),
        None => std::env::current_exe()
            .wrap_err("can't find this program")?
            .with_file_name("jujubelb-node"),
    };
    if !node.exists() {
        return Err(eyre!(
            "{} does not exist; build it with `cargo build --bin jujubelb-node`",
            node.display()
        ));
    }
    let mut broken = 0;
    for seed in cli.seed..cli.seed.saturating_add(cli.seeds) {
        let outcome = run(&Options {
            seed,
            time: Duration::from_secs(cli.seconds),
            hosts: cli.hosts,
            workers: cli.workers,
            node: node.clone(),
            logs: cli.logs.clone(),
            faults: !cli.calm,
            keep: cli.keep,
        })?;
        print!("{outcome}");
        broken += usize::from(!outcome.is_clean());
    }
    Ok(broken)
}
