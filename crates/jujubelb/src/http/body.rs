//! Reads request bodies up to a limit.

use rocket::data::{Data, ToByteUnit};
use tokio::io::{AsyncReadExt, copy, sink};

use super::response::Failure;
use crate::model::{Bytes, Code, Span};

/// Bytes of a too large body that are read and dropped. A connection that is
/// closed with unread bytes is reset, and the caller may lose the answer.
const DROPPED: u64 = 32 << 20;

/// Time for that.
const PATIENCE: Span = Span::from_secs(2);

/// Reads a whole body of at most `limit` bytes.
pub(crate) async fn read(data: Data<'_>, limit: Bytes) -> Result<Vec<u8>, Failure> {
    let mut stream = data.open((limit.0 + DROPPED).bytes());
    let mut body = Vec::new();
    let read = (&mut stream).take(limit.0 + 1).read_to_end(&mut body).await;
    read.map_err(|error| {
        Failure::new(Code::Malformed, format!("the body is incomplete: {error}"))
    })?;
    if body.len() as u64 <= limit.0 {
        return Ok(body);
    }
    // The answer is the same whether the rest arrives or not.
    let _ = tokio::time::timeout(PATIENCE.to_std(), copy(&mut stream, &mut sink())).await;
    let text = format!("the body is larger than {} bytes", limit.0);
    Err(Failure::new(Code::TooLarge, text))
}
