//! Reads request bodies of bounded size.

use rocket::data::{Data, ToByteUnit};
use tokio::io::{AsyncReadExt, copy, sink};

use super::response::Failure;
use crate::model::{Bytes, Code, Span};

/// Maximum number of bytes of a too large body that are read and discarded. A connection
/// that is closed with unread bytes is reset, and the caller may lose the response.
const MAX_DISCARDED_BYTES: u64 = 32 << 20;

/// Time for reading the rest of a too large body.
const DISCARD_TIMEOUT: Span = Span::from_secs(2);

/// Reads a complete body of at most `limit` bytes.
pub(crate) async fn read(data: Data<'_>, limit: Bytes) -> Result<Vec<u8>, Failure> {
    let mut stream = data.open(limit.0.saturating_add(MAX_DISCARDED_BYTES).bytes());
    let mut body = Vec::new();
    let read = (&mut stream)
        .take(limit.0.saturating_add(1))
        .read_to_end(&mut body)
        .await;
    read.map_err(|error| {
        Failure::new(Code::Malformed, format!("the body is incomplete: {error}"))
    })?;
    if body.len() as u64 <= limit.0 {
        return Ok(body);
    }
    // The response is the same whether the rest arrives or not.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT.to_std(), copy(&mut stream, &mut sink())).await;
    let text = format!("the body is larger than {} bytes", limit.0);
    Err(Failure::new(Code::TooLarge, text))
}
