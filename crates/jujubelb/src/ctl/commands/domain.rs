//! `jujubectl domain`: takes a failure domain out of service or brings it back.

use super::apply::{Applied, lost_response_remedy};
use crate::ctl::CtlError;
use crate::ctl::cli::{Domain, DomainChange};
use crate::ctl::client::Client;
use crate::ctl::export::export;
use crate::ctl::options::{Options, identity};
use crate::ctl::terminal::Terminal;
use crate::operator::api::{self, DomainRequest};

pub(super) fn run(
    args: &Domain,
    options: &Options,
    terminal: &mut Terminal,
) -> Result<(), CtlError> {
    let (change, author) = identity(&args.identity);
    let request = DomainRequest {
        change: change.clone(),
        author,
        out: args.way == DomainChange::Out,
    };
    let client = Client::new(options)?;
    let progress = terminal.progress("changing the domain");
    let answer = client.post(
        api::DOMAINS,
        &[&args.name],
        &request,
        &lost_response_remedy(&change),
    );
    progress.finish_and_clear();
    export(options.format, &Applied(answer?), terminal)
}
