//! All measurements, one after the other, so that they do not distort each other's times.

use clap::Parser;

use super::control::Control;
use super::domain_move::DomainMove;
use super::interference::Interference;
use super::placement::Placement;
use super::routing::Routing;
use super::{Measurement, Report};

/// Options of the run of all measurements.
#[derive(Debug, Clone, clap::Args)]
pub struct All {
    /// Short runs, which show only that the measurements work.
    #[arg(long)]
    quick: bool,
}

/// Parser for the default options of a measurement.
#[derive(Parser)]
struct Defaults<T: clap::Args> {
    #[command(flatten)]
    options: T,
}

fn defaults<T: clap::Args>() -> T {
    Defaults::parse_from(["jujubelb-bench"]).options
}

impl All {
    /// Runs all measurements in a fixed order.
    pub fn run(&self) -> Vec<Report> {
        let all: [Box<dyn Measurement>; 5] = if self.quick {
            [
                Box::new(Routing::quick()),
                Box::new(Placement::QUICK),
                Box::new(Interference::QUICK),
                Box::new(DomainMove::QUICK),
                Box::new(Control::QUICK),
            ]
        } else {
            [
                Box::new(defaults::<Routing>()),
                Box::new(defaults::<Placement>()),
                Box::new(defaults::<Interference>()),
                Box::new(defaults::<DomainMove>()),
                Box::new(defaults::<Control>()),
            ]
        };
        all.iter().map(|measurement| measurement.run()).collect()
    }
}
