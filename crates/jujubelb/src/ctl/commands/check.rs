//! `jujubectl check`: validates declaration files locally.

use serde::Serialize;

use crate::config::Config;
use crate::config::declare::{self, Problem};
use crate::ctl::cli::Check;
use crate::ctl::export::{Render, Style, export};
use crate::ctl::options::Options;
use crate::ctl::terminal::Terminal;
use crate::ctl::{CtlError, files};

/// Errors in a set of declaration files.
#[derive(Serialize)]
pub(super) struct Problems {
    pub(super) problems: Vec<Problem>,
}

impl Render for Problems {
    fn text(&self, _: &Style) -> String {
        let lines: Vec<String> = self.problems.iter().map(Problem::to_string).collect();
        lines.join("\n")
    }
}

/// Number of declared items in a set without errors.
#[derive(Serialize)]
struct Summary {
    domains: usize,
    hosts: usize,
    workers: usize,
    shards: usize,
    services: usize,
    endpoints: usize,
    teams: usize,
    jobs: usize,
}

impl Summary {
    fn new(config: &Config) -> Self {
        Self {
            domains: config.domains.len(),
            hosts: config.hosts.len(),
            workers: config.workers.len(),
            shards: config.shards.len(),
            services: config.services.len(),
            endpoints: config.services.values().map(|s| s.endpoints.len()).sum(),
            teams: config.teams.len(),
            jobs: config.jobs.len(),
        }
    }
}

impl Render for Summary {
    fn text(&self, _: &Style) -> String {
        let counts = [
            ("domains", self.domains),
            ("entry hosts", self.hosts),
            ("workers", self.workers),
            ("shards", self.shards),
            ("services", self.services),
            ("endpoints", self.endpoints),
            ("teams", self.teams),
            ("jobs and watchers", self.jobs),
        ];
        let list: Vec<String> = counts
            .iter()
            .map(|(name, n)| format!("{name} {n}"))
            .collect();
        format!("no errors: {}", list.join(", "))
    }
}

pub(super) fn run(
    args: &Check,
    options: &Options,
    terminal: &mut Terminal,
) -> Result<(), CtlError> {
    let files = files::read(&args.paths)?;
    let config = validate(&files, options, terminal)?;
    export(options.format, &Summary::new(&config), terminal)
}

/// Parses a set of files into a configuration. Prints the errors if there are any.
pub(super) fn validate(
    files: &declare::Files,
    options: &Options,
    terminal: &mut Terminal,
) -> Result<Config, CtlError> {
    declare::check(files).or_else(|problems| {
        let count = problems.len();
        export(options.format, &Problems { problems }, terminal)?;
        Err(CtlError::Files(count))
    })
}
