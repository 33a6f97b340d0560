//! Measurements of jujubelb against baselines.

use clap::{Parser, Subcommand};
use jujubelb_lab::bench::control::Control;
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
    what: What,
    /// How the result is printed.
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    format: Format,
}

#[derive(Subcommand)]
enum What {
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
    /// All measurements, one after the other.
    All(All),
    /// The table of docs/CAPACITY.md, computed from the recorded slopes.
    Capacity,
    /// Processor time and message sizes of a shard's owner.
    Owner(OwnerCost),
}

fn main() -> eyre::Result<()> {
    let cli = Cli::parse();
    if matches!(cli.what, What::Capacity) {
        print!("{}", Slopes::parse(SLOPES)?.table());
        return Ok(());
    }
    let reports = match &cli.what {
        What::Routing(routing) => vec![routing.run()],
        What::Placement(placement) => vec![placement.run()],
        What::Interference(interference) => vec![interference.run()],
        What::DomainMove(domain_move) => vec![domain_move.run()],
        What::Control(control) => vec![control.run()],
        What::All(all) => all.run(),
        What::Owner(owner) => vec![owner.run()],
        What::Capacity => Vec::new(),
    };
    println!("{}", export(&reports, cli.format)?);
    Ok(())
}
