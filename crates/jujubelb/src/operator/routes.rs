//! Routes of the operators' HTTP API that need a token.

use indexmap::IndexMap;
use rocket::data::Data;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::Responder;
use rocket::serde::json::Json;
use rocket::{Route, State, routes};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::api::{
    ApplyRequest, ApplyResponse, ConfigView, ConfirmDead, DomainRequest, DoneBody, DumpView,
    EndpointRequest, ErrorBody, MAX_APPLY_BYTES, RecordsView, TasksView, TopView,
};
use super::query::newest_attempts;
use super::{OperatorApi, top};
use crate::config::head::{self, Change, ContentCache, Edit};
use crate::model::{Bytes, Code, DomainName, EndpointName, ShardName, Span, WorkerName};
use crate::peer::{Call, Query, Reply};
use crate::telemetry::Clock;

/// Largest request body of all routes but `POST /v1/apply`.
const MAX_SMALL_BODY_BYTES: usize = 16 << 10;

/// Time limit for the reply of a shard's owner.
const OWNER_TIMEOUT: Span = Span::from_millis(3_000);

/// All routes that need a token.
pub(super) fn all() -> Vec<Route> {
    routes![
        metrics,
        config,
        apply,
        domain,
        endpoint,
        tasks,
        records,
        top_view,
        dump,
        confirm_dead
    ]
}

/// Request guard: the request carries exactly one `Authorization` header with a valid token.
pub(super) struct Authorized;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Authorized {
    type Error = Code;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Code> {
        let Some(operators) = request.rocket().state::<OperatorApi>() else {
            return Outcome::Error((Status::InternalServerError, Code::Internal));
        };
        let mut values = request.headers().get("Authorization");
        let token = values.next().and_then(|v| v.strip_prefix("Bearer "));
        let single = values.next().is_none();
        let now = operators.process.clock.now();
        let valid = token.is_some_and(|t| operators.tokens.is_valid(now, t.trim()));
        if single && valid {
            return Outcome::Success(Self);
        }
        operators.count_result(Code::Unauthorized);
        Outcome::Error((Status::Unauthorized, Code::Unauthorized))
    }
}

/// An error response. Its HTTP status follows from the result code, and it is counted.
#[derive(Debug)]
pub(super) struct ApiFailure(Box<ErrorBody>);

impl ApiFailure {
    fn new(code: Code, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorBody::new(code, message)))
    }
}

impl<'r> Responder<'r, 'static> for ApiFailure {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'static> {
        if let Some(operators) = request.rocket().state::<OperatorApi>() {
            operators.count_result(self.0.code);
        }
        let status = Status::new(self.0.code.http_status());
        (status, Json(*self.0)).respond_to(request)
    }
}

/// A successful response, which is counted as `Done`.
pub(super) struct ApiSuccess<T>(T);

impl<'r, T: Serialize> Responder<'r, 'static> for ApiSuccess<T> {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'static> {
        if let Some(operators) = request.rocket().state::<OperatorApi>() {
            operators.count_result(Code::Done);
        }
        Json(self.0).respond_to(request)
    }
}

type ApiResult<T> = Result<ApiSuccess<T>, ApiFailure>;

async fn body<T: DeserializeOwned>(data: Data<'_>, limit: usize) -> Result<T, ApiFailure> {
    let body = crate::http::body::read(data, Bytes(limit as u64))
        .await
        .map_err(|failure| ApiFailure::new(failure.code, failure.message))?;
    serde_json::from_slice(&body)
        .map_err(|e| ApiFailure::new(Code::Malformed, format!("the body is malformed: {e}")))
}

#[rocket::get("/metrics")]
fn metrics(_token: Authorized, operators: &State<OperatorApi>) -> Result<String, ApiFailure> {
    operators
        .process
        .metrics
        .render()
        .map_err(|e| ApiFailure::new(Code::Internal, e.to_string()))
}

/// Runs blocking calls to the store outside the server's async threads.
async fn blocking<T: Send + 'static>(
    call: impl FnOnce() -> Result<T, ApiFailure> + Send + 'static,
) -> Result<T, ApiFailure> {
    match tokio::task::spawn_blocking(call).await {
        Ok(result) => result,
        Err(error) => Err(ApiFailure::new(Code::Internal, error.to_string())),
    }
}

#[rocket::get("/v1/config")]
async fn config(_token: Authorized, operators: &State<OperatorApi>) -> ApiResult<ConfigView> {
    let process = operators.process.clone();
    let loaded = blocking(move || {
        head::load(&process.store, &mut ContentCache::default()).map_err(|error| {
            let code = match error {
                head::ReadError::Store(_) => Code::StoreUnavailable,
                _ => Code::Internal,
            };
            ApiFailure::new(code, error.to_string())
        })
    });
    let loaded = loaded.await?;
    Ok(ApiSuccess(ConfigView {
        node: operators.process.node.clone(),
        age: operators.process.active_config.evidence_age(),
        change: loaded.head.last_change().map(head::AppliedChange::view),
        files: loaded.files,
    }))
}

async fn apply_change(operators: &OperatorApi, change: Change) -> ApiResult<ApplyResponse> {
    let process = operators.process.clone();
    let (id, author) = (change.id.clone(), change.author.clone());
    let outcome = blocking(move || {
        let mut contents = ContentCache::default();
        head::apply(&process.store, &mut contents, &change, Clock::wall())
            .map_err(|error| ApiFailure(Box::new(error.body())))
    });
    let outcome = outcome.await?;
    let Some(applied) = outcome.applied else {
        let text = "nothing was declared before and the change declares nothing";
        return Err(ApiFailure::new(Code::Malformed, text));
    };
    log::info!(change = id.as_str(), author = author.as_str(), revision = applied.revision.0, unchanged = outcome.unchanged; "applied a change of the configuration");
    Ok(ApiSuccess(ApplyResponse {
        change: applied.view(),
        unchanged: outcome.unchanged,
        diff: outcome.diff.iter().map(ToString::to_string).collect(),
    }))
}

#[rocket::post("/v1/apply", data = "<data>")]
async fn apply(
    _token: Authorized,
    operators: &State<OperatorApi>,
    data: Data<'_>,
) -> ApiResult<ApplyResponse> {
    let request: ApplyRequest = body(data, MAX_APPLY_BYTES).await?;
    let edit = Edit::Files {
        expected: request.expected,
        files: request.files,
    };
    let (id, author) = (request.change, request.author);
    apply_change(operators, Change { id, author, edit }).await
}

#[rocket::post("/v1/domains/<name>", data = "<data>")]
async fn domain(
    _token: Authorized,
    operators: &State<OperatorApi>,
    name: &str,
    data: Data<'_>,
) -> ApiResult<ApplyResponse> {
    let request: DomainRequest = body(data, MAX_SMALL_BODY_BYTES).await?;
    let edit = Edit::Domain {
        name: DomainName::from(name),
        out: request.out,
    };
    let (id, author) = (request.change, request.author);
    apply_change(operators, Change { id, author, edit }).await
}

#[rocket::post("/v1/endpoints/<name>", data = "<data>")]
async fn endpoint(
    _token: Authorized,
    operators: &State<OperatorApi>,
    name: &str,
    data: Data<'_>,
) -> ApiResult<ApplyResponse> {
    let request: EndpointRequest = body(data, MAX_SMALL_BODY_BYTES).await?;
    let edit = Edit::Endpoint {
        name: EndpointName::from(name),
        leaving: request.drain,
    };
    let (id, author) = (request.change, request.author);
    apply_change(operators, Change { id, author, edit }).await
}

#[rocket::get("/v1/tasks?<shard>")]
async fn tasks(
    _token: Authorized,
    operators: &State<OperatorApi>,
    shard: Option<&str>,
) -> ApiResult<TasksView> {
    let views = operators
        .query_nodes(Query::Tasks(shard.map(ShardName::from)))
        .await;
    let tasks = views.views.into_iter().flat_map(|v| v.tasks).collect();
    let tasks = newest_attempts(tasks);
    let sources = views.sources;
    Ok(ApiSuccess(TasksView { sources, tasks }))
}

#[rocket::get("/v1/records?<subject>&<since>")]
async fn records(
    _token: Authorized,
    operators: &State<OperatorApi>,
    subject: Option<String>,
    since: Option<&str>,
) -> ApiResult<RecordsView> {
    let since = since.map(|text| {
        let seconds = text.parse::<u32>().map_err(|_| {
            let text = "`since` has to be a number of seconds";
            ApiFailure::new(Code::Malformed, text)
        })?;
        Ok(Span::from_secs(u64::from(seconds)))
    });
    let (sources, records) = operators.records(subject, since.transpose()?).await;
    Ok(ApiSuccess(RecordsView { sources, records }))
}

#[rocket::get("/v1/top")]
async fn top_view(_token: Authorized, operators: &State<OperatorApi>) -> ApiResult<TopView> {
    let views = operators.query_nodes(Query::Top).await;
    Ok(ApiSuccess(top::combine(operators, views)))
}

#[rocket::get("/v1/dump")]
async fn dump(_token: Authorized, operators: &State<OperatorApi>) -> ApiResult<DumpView> {
    let views = operators.query_nodes(Query::Dump).await;
    let mut nodes = IndexMap::new();
    for view in views.views {
        let text = view.dump.unwrap_or_default();
        let dump = serde_json::from_str(&text).unwrap_or(serde_json::Value::Null);
        nodes.insert(view.node, dump);
    }
    let sources = views.sources;
    Ok(ApiSuccess(DumpView { sources, nodes }))
}

#[rocket::post("/v1/workers/<name>/confirm-dead", data = "<data>")]
async fn confirm_dead(
    _token: Authorized,
    operators: &State<OperatorApi>,
    name: &str,
    data: Data<'_>,
) -> ApiResult<DoneBody> {
    let request: ConfirmDead = body(data, MAX_SMALL_BODY_BYTES).await?;
    let worker = WorkerName::from(name);
    let config = operators.process.active_config.config();
    let Some(shard) = config.shard_of(&worker).cloned() else {
        let text = format!("no worker {worker} is declared");
        return Err(ApiFailure::new(Code::NotFound, text));
    };
    let Some(owner) = operators.owner_of(&shard) else {
        let text = format!("no owner of the shard {shard} is known");
        return Err(ApiFailure::new(Code::NotOwner, text));
    };
    log::info!(worker = name, author = request.author.as_str(); "an operator confirmed that the host of a worker is dead");
    let call = Call::ConfirmDead(shard, worker);
    match operators.call(&owner, call, OWNER_TIMEOUT).await {
        Some(Reply::Code(code @ (Code::Done | Code::Accepted), message)) => {
            Ok(ApiSuccess(DoneBody {
                code,
                number: code.number(),
                message,
            }))
        }
        Some(Reply::Code(code, message)) => Err(ApiFailure::new(code, message)),
        _ => {
            let text = format!("the owner {owner} gave no answer");
            Err(ApiFailure::new(Code::PeerUnknown, text))
        }
    }
}
