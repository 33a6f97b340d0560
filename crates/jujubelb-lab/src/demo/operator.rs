//! Client for the HTTP interface that processes offer to operators.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Context, Result, eyre};
use indexmap::IndexMap;
use jujubelb::model::Revision;
use jujubelb::operator::api::{
    APPLY, ApplyRequest, ApplyResponse, CONFIG, ConfigView, DOMAINS, DomainRequest, ENDPOINTS,
    EndpointRequest, ErrorBody, RECORDS, RecordsView, TASKS, TOP, TasksView, TopView,
};
use rand::Rng;
use reqwest::blocking::{Client, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of one call, longer than the timeouts inside the interface, so that its own error
/// arrives first.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Author recorded for the configuration changes that the demo makes.
const AUTHOR: &str = "demo";

/// Blocking client that sends the operator token with each call.
#[derive(Debug, Clone)]
pub struct Operator {
    client: Client,
    token: String,
}

impl Operator {
    /// Creates a client that authenticates with `token`. Ignores proxy settings.
    pub fn new(token: impl Into<String>) -> Result<Self> {
        Ok(Self {
            client: Client::builder().timeout(CALL_TIMEOUT).no_proxy().build()?,
            token: token.into(),
        })
    }

    fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let response = request
            .bearer_auth(&self.token)
            .send()
            .wrap_err("no response from the process")?;
        if response.status().is_success() {
            return response.json().wrap_err("the response is malformed");
        }
        let status = response.status();
        let body: ErrorBody = response
            .json()
            .wrap_err_with(|| format!("status {status} without a valid error body"))?;
        Err(eyre!(
            "{} {}: {:?}",
            body.number,
            body.message,
            body.problems
        ))
    }

    fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T> {
        self.send(self.client.get(format!("http://{address}{path}")))
    }

    fn post<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        self.send(
            self.client
                .post(format!("http://{address}{path}"))
                .json(body),
        )
    }

    /// Applies configuration files on top of revision `expected`.
    pub fn apply(
        &self,
        address: SocketAddr,
        expected: Revision,
        files: IndexMap<String, String>,
    ) -> Result<ApplyResponse> {
        let request = ApplyRequest {
            change: change_id(),
            author: AUTHOR.into(),
            expected,
            files: files
                .into_iter()
                .map(|(name, text)| (name, Some(text)))
                .collect(),
        };
        self.post(address, APPLY, &request)
    }

    /// Takes a failure domain out of service or puts it back in service.
    pub fn set_domain_out(
        &self,
        address: SocketAddr,
        domain: &str,
        out: bool,
    ) -> Result<ApplyResponse> {
        let request = DomainRequest {
            change: change_id(),
            author: AUTHOR.into(),
            out,
        };
        self.post(address, &format!("{DOMAINS}/{domain}"), &request)
    }

    /// Drains an endpoint, or ends its drain.
    pub fn set_drain(
        &self,
        address: SocketAddr,
        endpoint: &str,
        drain: bool,
    ) -> Result<ApplyResponse> {
        let request = EndpointRequest {
            change: change_id(),
            author: AUTHOR.into(),
            drain,
        };
        self.post(address, &format!("{ENDPOINTS}/{endpoint}"), &request)
    }

    /// Fetches the active configuration of a process.
    pub fn config(&self, address: SocketAddr) -> Result<ConfigView> {
        self.get(address, CONFIG)
    }

    /// Fetches a process's overview of failure domains, shards, services and quotas.
    pub fn top(&self, address: SocketAddr) -> Result<TopView> {
        self.get(address, TOP)
    }

    /// Fetches the state of all tasks.
    pub fn tasks(&self, address: SocketAddr) -> Result<TasksView> {
        self.get(address, TASKS)
    }

    /// Fetches the records of all processes that answer.
    pub fn records(&self, address: SocketAddr) -> Result<RecordsView> {
        self.get(address, RECORDS)
    }
}

fn change_id() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}
