//! HTTP interface of the stand-in store.

use std::sync::Arc;

use jujubelb::model::Span;
use jujubelb::store::api::{
    DeleteRequest, EmptyResponse, EntryResponse, ErrorResponse, GrantRequest, GrantResponse,
    LeaseRequest, ListResponse, PutRequest, PutResponse,
};
use jujubelb::store::{Store, StoreError, Version};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, post, routes};
use tokio::task::spawn_blocking;

use super::store::MemoryStore;

/// Upper bound for the wait of a watch.
const MAX_WATCH_WAIT: Span = Span::from_secs(30);

type Failure = (Status, Json<ErrorResponse>);
type ApiResult<T> = Result<Json<T>, Failure>;
type SharedStore = State<Arc<MemoryStore>>;

fn failure(error: StoreError) -> Failure {
    let response = match error {
        StoreError::Conflict { current } => ErrorResponse::Conflict { current },
        StoreError::LeaseEnded => ErrorResponse::LeaseEnded,
        StoreError::TooLarge { size, limit } => ErrorResponse::TooLarge { size, limit },
        StoreError::Refused(message) => ErrorResponse::Refused { message },
        // The client handles this status like a lost response: the outcome is unknown.
        StoreError::Unknown(message) | StoreError::Malformed(message) => {
            return (Status::BadGateway, Json(ErrorResponse::Refused { message }));
        }
    };
    (Status::new(response.status()), Json(response))
}

/// Runs a store call on a blocking thread, since injected delays and watches block.
async fn run_blocking<T: Send + 'static>(
    store: &SharedStore,
    call: impl FnOnce(&MemoryStore) -> Result<T, StoreError> + Send + 'static,
) -> Result<T, Failure> {
    let store = Arc::clone(store);
    match spawn_blocking(move || call(&store)).await {
        Ok(result) => result.map_err(failure),
        Err(error) => Err(failure(StoreError::Unknown(error.to_string()))),
    }
}

#[get("/v1/kv/get?<key>")]
async fn get_key(store: &SharedStore, key: String) -> ApiResult<EntryResponse> {
    let entry = run_blocking(store, move |s| s.get(&key)).await?;
    Ok(Json(EntryResponse {
        entry: entry.map(Into::into),
    }))
}

#[get("/v1/kv/list?<prefix>&<after>&<limit>")]
async fn list(
    store: &SharedStore,
    prefix: String,
    after: String,
    limit: usize,
) -> ApiResult<ListResponse> {
    let entries = run_blocking(store, move |s| s.list(&prefix, &after, limit)).await?;
    Ok(Json(ListResponse {
        entries: entries.into_iter().map(Into::into).collect(),
        more: false,
    }))
}

#[post("/v1/kv/put", data = "<body>")]
async fn put(store: &SharedStore, body: Json<PutRequest>) -> ApiResult<PutResponse> {
    let put = body.into_inner();
    let version = run_blocking(store, move |s| {
        s.put(&put.key, &put.value, put.expect, put.lease)
    })
    .await?;
    Ok(Json(PutResponse { version }))
}

#[post("/v1/kv/delete", data = "<body>")]
async fn delete(store: &SharedStore, body: Json<DeleteRequest>) -> ApiResult<EmptyResponse> {
    let delete = body.into_inner();
    run_blocking(store, move |s| s.delete(&delete.key, delete.expect)).await?;
    Ok(Json(EmptyResponse {}))
}

#[get("/v1/watch?<key>&<after>&<wait_ms>")]
async fn watch(
    store: &SharedStore,
    key: String,
    after: u64,
    wait_ms: u64,
) -> ApiResult<EntryResponse> {
    let wait = Span::from_millis(wait_ms).min(MAX_WATCH_WAIT);
    let entry = run_blocking(store, move |s| s.watch(&key, Version(after), wait)).await?;
    Ok(Json(EntryResponse {
        entry: entry.map(Into::into),
    }))
}

#[post("/v1/leases/grant", data = "<body>")]
async fn grant(store: &SharedStore, body: Json<GrantRequest>) -> ApiResult<GrantResponse> {
    let ttl = Span::from_millis(body.ttl_ms);
    let lease = run_blocking(store, move |s| s.grant(ttl)).await?;
    Ok(Json(GrantResponse { lease }))
}

#[post("/v1/leases/renew", data = "<body>")]
async fn renew(store: &SharedStore, body: Json<LeaseRequest>) -> ApiResult<EmptyResponse> {
    let lease = body.lease;
    run_blocking(store, move |s| s.renew(lease)).await?;
    Ok(Json(EmptyResponse {}))
}

#[post("/v1/leases/revoke", data = "<body>")]
async fn revoke(store: &SharedStore, body: Json<LeaseRequest>) -> ApiResult<EmptyResponse> {
    let lease = body.lease;
    run_blocking(store, move |s| s.revoke(lease)).await?;
    Ok(Json(EmptyResponse {}))
}

/// Adds the store's routes to a server.
pub(super) fn mount(rocket: Rocket<Build>, store: Arc<MemoryStore>) -> Rocket<Build> {
    rocket.manage(store).mount(
        "/",
        routes![get_key, list, put, delete, watch, grant, renew, revoke],
    )
}
