//! A client of the operators' HTTP interface.

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

/// Bound of one call, above the interface's own bounds.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Author named in the demo's changes.
const AUTHOR: &str = "demo";

/// The client.
#[derive(Debug, Clone)]
pub struct Operator {
    client: Client,
    token: String,
}

impl Operator {
    /// A client with this token.
    pub fn new(token: impl Into<String>) -> Result<Self> {
        Ok(Self {
            client: Client::builder().timeout(TIMEOUT).no_proxy().build()?,
            token: token.into(),
        })
    }

    fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let response = request
            .bearer_auth(&self.token)
            .send()
            .wrap_err("no answer from the process")?;
        if response.status().is_success() {
            return response.json().wrap_err("the answer is malformed");
        }
        let status = response.status();
        let body: ErrorBody = response
            .json()
            .wrap_err_with(|| format!("status {status}"))?;
        Err(eyre!(
            "{} {}: {:?}",
            body.number,
            body.message,
            body.problems
        ))
    }

    fn get<T: DeserializeOwned>(&self, at: SocketAddr, path: &str) -> Result<T> {
        self.send(self.client.get(format!("http://{at}{path}")))
    }

    fn post<T: DeserializeOwned>(
        &self,
        at: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        self.send(self.client.post(format!("http://{at}{path}")).json(body))
    }

    /// Applies files.
    pub fn apply(
        &self,
        at: SocketAddr,
        expected: Revision,
        files: IndexMap<String, String>,
    ) -> Result<ApplyResponse> {
        let request = ApplyRequest {
            change: change(),
            author: AUTHOR.into(),
            expected,
            files: files
                .into_iter()
                .map(|(name, text)| (name, Some(text)))
                .collect(),
        };
        self.post(at, APPLY, &request)
    }

    /// Takes a domain out or in.
    pub fn domain(&self, at: SocketAddr, domain: &str, out: bool) -> Result<ApplyResponse> {
        let request = DomainRequest {
            change: change(),
            author: AUTHOR.into(),
            out,
        };
        self.post(at, &format!("{DOMAINS}/{domain}"), &request)
    }

    /// Drains or restores an endpoint.
    pub fn drain(&self, at: SocketAddr, endpoint: &str, drain: bool) -> Result<ApplyResponse> {
        let request = EndpointRequest {
            change: change(),
            author: AUTHOR.into(),
            drain,
        };
        self.post(at, &format!("{ENDPOINTS}/{endpoint}"), &request)
    }

    /// The configuration in force in a process.
    pub fn config(&self, at: SocketAddr) -> Result<ConfigView> {
        self.get(at, CONFIG)
    }

    /// The overview of a process.
    pub fn top(&self, at: SocketAddr) -> Result<TopView> {
        self.get(at, TOP)
    }

    /// All tasks.
    pub fn tasks(&self, at: SocketAddr) -> Result<TasksView> {
        self.get(at, TASKS)
    }

    /// All records.
    pub fn records(&self, at: SocketAddr) -> Result<RecordsView> {
        self.get(at, RECORDS)
    }
}

fn change() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}
