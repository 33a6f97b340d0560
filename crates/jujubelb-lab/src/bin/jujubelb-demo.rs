//! Runs a complete deployment on loopback with a mixed load and injected faults, and reports on every
//! invariant.

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use eyre::{Result, WrapErr};
use indicatif::{ProgressBar, ProgressStyle};
use jujubelb_lab::demo::{Format, Options, STEP_COUNT, run};

/// Runs jujubelb on this machine for less than a minute and reports on every invariant.
///
/// Starts stand-ins for the platform on loopback addresses, seven entry hosts in
/// three failure domains, and a mixed load. Takes a failure domain out and brings
/// it back, kills a worker and a scheduler process, lets an endpoint leave and
/// stops processes as planned. The exit code is 1 if an invariant was violated.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Examples:\n  jujubelb-demo\n  jujubelb-demo --seed 7 --format json"
)]
struct Cli {
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Form of the report.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// Second part of the loopback addresses, to run two demos at the same time.
    #[arg(long, default_value_t = 90, value_parser = clap::value_parser!(u8).range(16..=250))]
    net: u8,
    /// Seconds for which the processes go on after the course, for use with `jujubectl`.
    #[arg(long, default_value_t = 0)]
    hold: u64,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    match run_demo(&Cli::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run_demo(cli: &Cli) -> Result<usize> {
    let dir = std::env::temp_dir().join(format!("jujubelb-demo-{}", std::process::id()));
    std::fs::create_dir_all(&dir).wrap_err("can't create a temporary directory for the keys")?;
    let progress = ProgressBar::new(STEP_COUNT);
    progress.set_style(ProgressStyle::with_template(
        "{elapsed:>4} [{bar:20}] {msg}",
    )?);
    progress.enable_steady_tick(Duration::from_millis(250));
    let options = Options {
        seed: cli.seed,
        net: cli.net,
        hold: Duration::from_secs(cli.hold),
    };
    let report = run(options, &dir, progress.clone());
    progress.finish_and_clear();
    std::fs::remove_dir_all(&dir).wrap_err("can't remove the temporary directory for the keys")?;
    let report = report?;
    report.print(cli.format)?;
    Ok(report.faults())
}
