//! All measurements, one after the other, so that none disturbs the times of another.

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

/// A measurement with the options that it has without arguments.
#[derive(Parser)]
struct Usual<T: clap::Args> {
    #[command(flatten)]
    options: T,
}

fn usual<T: clap::Args>() -> T {
    Usual::parse_from(["jujubelb-bench"]).options
}

impl All {
    /// Runs all, in order.
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
                Box::new(usual::<Routing>()),
                Box::new(usual::<Placement>()),
                Box::new(usual::<Interference>()),
                Box::new(usual::<DomainMove>()),
                Box::new(usual::<Control>()),
            ]
        };
        all.iter().map(|measurement| measurement.run()).collect()
    }
}
