//! `jujubectl drain`: drains an endpoint or restores it.

use super::apply::{Applied, lost_response_remedy};
use crate::ctl::CtlError;
use crate::ctl::cli::Drain;
use crate::ctl::client::Client;
use crate::ctl::export::export;
use crate::ctl::options::{Options, identity};
use crate::ctl::terminal::Terminal;
use crate::operator::api::{self, EndpointRequest};

pub(super) fn run(
    args: &Drain,
    options: &Options,
    terminal: &mut Terminal,
) -> Result<(), CtlError> {
    let (change, author) = identity(&args.identity);
    let request = EndpointRequest {
        change: change.clone(),
        author,
        drain: !args.restore,
    };
    let client = Client::new(options)?;
    let progress = terminal.progress("changing the endpoint");
    let answer = client.post(
        api::ENDPOINTS,
        &[&args.endpoint],
        &request,
        &lost_response_remedy(&change),
    );
    progress.finish_and_clear();
    export(options.format, &Applied(answer?), terminal)
}
