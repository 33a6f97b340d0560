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

/// Longest wait of a watch.
const WATCH_LIMIT: Span = Span::from_secs(30);

type Failure = (Status, Json<ErrorResponse>);
type Answer<T> = Result<Json<T>, Failure>;
type Shared = State<Arc<MemoryStore>>;

fn failure(error: StoreError) -> Failure {
    let answer = match error {
        StoreError::Conflict { current } => ErrorResponse::Conflict { current },
        StoreError::LeaseEnded => ErrorResponse::LeaseEnded,
        StoreError::TooLarge { size, limit } => ErrorResponse::TooLarge { size, limit },
        StoreError::Refused(message) => ErrorResponse::Refused { message },
        // The client can't tell this status from a lost answer, which is what it stands for.
        StoreError::Unknown(message) | StoreError::Malformed(message) => {
            return (Status::BadGateway, Json(ErrorResponse::Refused { message }));
        }
    };
    (Status::new(answer.status()), Json(answer))
}

/// Runs a call on a thread that may block.
async fn run<T: Send + 'static>(
    store: &Shared,
    call: impl FnOnce(&MemoryStore) -> Result<T, StoreError> + Send + 'static,
) -> Result<T, Failure> {
    let store = Arc::clone(store);
    match spawn_blocking(move || call(&store)).await {
        Ok(result) => result.map_err(failure),
        Err(error) => Err(failure(StoreError::Unknown(error.to_string()))),
    }
}

#[get("/v1/kv/get?<key>")]
async fn get_key(store: &Shared, key: String) -> Answer<EntryResponse> {
    let entry = run(store, move |s| s.get(&key)).await?;
    Ok(Json(EntryResponse {
        entry: entry.map(Into::into),
    }))
}

#[get("/v1/kv/list?<prefix>&<after>&<limit>")]
async fn list(store: &Shared, prefix: String, after: String, limit: usize) -> Answer<ListResponse> {
    let entries = run(store, move |s| s.list(&prefix, &after, limit)).await?;
    Ok(Json(ListResponse {
        entries: entries.into_iter().map(Into::into).collect(),
        more: false,
    }))
}

#[post("/v1/kv/put", data = "<body>")]
async fn put(store: &Shared, body: Json<PutRequest>) -> Answer<PutResponse> {
    let put = body.into_inner();
    let version = run(store, move |s| {
        s.put(&put.key, &put.value, put.expect, put.lease)
    })
    .await?;
    Ok(Json(PutResponse { version }))
}

#[post("/v1/kv/delete", data = "<body>")]
async fn delete(store: &Shared, body: Json<DeleteRequest>) -> Answer<EmptyResponse> {
    let delete = body.into_inner();
    run(store, move |s| s.delete(&delete.key, delete.expect)).await?;
    Ok(Json(EmptyResponse {}))
}

#[get("/v1/watch?<key>&<after>&<wait_ms>")]
async fn watch(store: &Shared, key: String, after: u64, wait_ms: u64) -> Answer<EntryResponse> {
    let wait = Span::from_millis(wait_ms).min(WATCH_LIMIT);
    let entry = run(store, move |s| s.watch(&key, Version(after), wait)).await?;
    Ok(Json(EntryResponse {
        entry: entry.map(Into::into),
    }))
}

#[post("/v1/leases/grant", data = "<body>")]
async fn grant(store: &Shared, body: Json<GrantRequest>) -> Answer<GrantResponse> {
    let ttl = Span::from_millis(body.ttl_ms);
    let lease = run(store, move |s| s.grant(ttl)).await?;
    Ok(Json(GrantResponse { lease }))
}

#[post("/v1/leases/renew", data = "<body>")]
async fn renew(store: &Shared, body: Json<LeaseRequest>) -> Answer<EmptyResponse> {
    let lease = body.lease;
    run(store, move |s| s.renew(lease)).await?;
    Ok(Json(EmptyResponse {}))
}

#[post("/v1/leases/revoke", data = "<body>")]
async fn revoke(store: &Shared, body: Json<LeaseRequest>) -> Answer<EmptyResponse> {
    let lease = body.lease;
    run(store, move |s| s.revoke(lease)).await?;
    Ok(Json(EmptyResponse {}))
}

/// Adds the store's routes to a server.
pub(super) fn mount(rocket: Rocket<Build>, store: Arc<MemoryStore>) -> Rocket<Build> {
    rocket.manage(store).mount(
        "/",
        routes![get_key, list, put, delete, watch, grant, renew, revoke],
    )
}
