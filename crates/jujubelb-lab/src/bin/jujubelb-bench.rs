//! Benchmarks that compare jujubelb with baselines, and the capacity table.

use clap::{Parser, Subcommand};
use jujubelb_lab::bench::control::Control;
use jujubelb_lab::bench::dispatch::Dispatch;
use jujubelb_lab::bench::domain_move::DomainMove;
use jujubelb_lab::bench::interference::Interference;
use jujubelb_lab::bench::owner::OwnerCost;
use jujubelb_lab::bench::placement::Placement;
use jujubelb_lab::bench::routing::Routing;
use jujubelb_lab::bench::{All, Format, Measurement, export};
use jujubelb_lab::capacity::{SLOPES, Slopes};

#[derive(Parser)]
#[command(name = "jujubelb-bench", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// How the result is printed.
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    format: Format,
}

#[derive(Subcommand)]
enum Command {
    /// Tail latency of requests by the choice of endpoints.
    Routing(Routing),
    /// Processor time of placement decisions.
    Placement(Placement),
    /// Late requests and batch work when tasks disturb services.
    Interference(Interference),
    /// Batch work while a failure domain leaves and returns.
    DomainMove(DomainMove),
    /// Bytes, store calls and processor time of control by size.
    Control(Control),
    /// Processor time of the dispatcher by number of workers.
    Dispatch(Dispatch),
    /// All measurements, one after the other.
    All(All),
    /// The table of docs/CAPACITY.md, computed from the recorded slopes.
    Capacity,
    /// Processor time and message sizes of a shard's owner.
    Owner(OwnerCost),
}

fn main() -> eyre::Result<()> {
    let cli = Cli::parse();
    if matches!(cli.command, Command::Capacity) {
        print!("{}", Slopes::parse(SLOPES)?.table());
        return Ok(());
    }
    let reports = match &cli.command {
        Command::Routing(routing) => vec![routing.run()],
        Command::Placement(placement) => vec![placement.run()],
        Command::Interference(interference) => vec![interference.run()],
        Command::DomainMove(domain_move) => vec![domain_move.run()],
        Command::Control(control) => vec![control.run()],
        Command::Dispatch(dispatch) => vec![dispatch.run()],
        Command::All(all) => all.run(),
        Command::Owner(owner) => vec![owner.run()],
        Command::Capacity => Vec::new(),
    };
    println!("{}", export(&reports, cli.format)?);
    Ok(())
}
