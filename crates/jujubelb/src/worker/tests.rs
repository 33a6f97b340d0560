use super::*;
use crate::http::test_server::{json, serve, unused_address};

fn sync(address: std::net::SocketAddr) -> Result<SyncResponse, WorkerError> {
    let request = SyncRequest {
        shard: "s".into(),
        epoch: Epoch(1),
        seq: 1,
        lease: None,
        known_inventory: None,
        commands: Vec::new(),
    };
    HttpWorkerClient::new().unwrap().sync(address, &request)
}

/// Guards against treating a failed exchange as a response.
#[test]
fn failed_exchanges_return_errors() {
    assert!(matches!(
        sync(unused_address()),
        Err(WorkerError::Unreachable(_))
    ));
    let truncated = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"fenced\"".to_vec();
    assert!(matches!(
        sync(serve(vec![truncated])),
        Err(WorkerError::Unreachable(_))
    ));
    assert!(matches!(
        sync(serve(vec![json(500, "{}")])),
        Err(WorkerError::Unreachable(_))
    ));
    assert!(matches!(
        sync(serve(vec![json(200, "{}")])),
        Err(WorkerError::Malformed(_))
    ));
    let large = json(200, &" ".repeat(2 << 20));
    assert!(matches!(
        sync(serve(vec![large])),
        Err(WorkerError::Malformed(_))
    ));
    let fenced = json(200, r#"{"fenced":{"shard":"s","epoch":3}}"#);
    let shard = ShardName::from("s");
    let epoch = Epoch(3);
    assert_eq!(
        sync(serve(vec![fenced])),
        Ok(SyncResponse::Fenced { shard, epoch })
    );
}
