//! Measurements of jujubelb against baselines.

use clap::{Parser, Subcommand};
use jujubelb_lab::bench::owner::OwnerCost;
use jujubelb_lab::bench::routing::Routing;
use jujubelb_lab::bench::{Format, Measurement};

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
    /// Processor time and message sizes of a shard's owner.
    Owner(OwnerCost),
}

fn main() -> eyre::Result<()> {
    let cli = Cli::parse();
    let report = match &cli.what {
        What::Routing(routing) => routing.run(),
        What::Owner(owner) => owner.run(),
    };
    println!("{}", report.export(cli.format)?);
    Ok(())
}
