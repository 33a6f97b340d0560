//! Length-prefixed frames on a TCP connection: four bytes of big-endian length, then the
//! message.

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Buffers grow by this much at a time, so that memory is allocated for received bytes
/// only and not for the length that the peer states.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Failure to read a frame.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    /// The peer closed the connection between frames.
    #[error("the connection was closed")]
    Closed,
    /// The connection failed or was closed within a frame.
    #[error("the connection failed: {0}")]
    Broken(std::io::Error),
    /// The stated length exceeds the limit.
    #[error("the message exceeds the size limit")]
    Oversized,
}

/// Writes one frame.
pub(crate) async fn write<W: AsyncWrite + Unpin>(
    to: &mut W,
    message: &[u8],
) -> std::io::Result<()> {
    let length = u32::try_from(message.len()).map_err(std::io::Error::other)?;
    to.write_all(&length.to_be_bytes()).await?;
    to.write_all(message).await?;
    to.flush().await
}

/// Reads one frame with a message of at most `limit` bytes.
pub(crate) async fn read<R: AsyncRead + Unpin>(
    from: &mut R,
    limit: usize,
) -> Result<Vec<u8>, FrameError> {
    let mut length = [0; 4];
    let first = from.read(&mut length).await.map_err(FrameError::Broken)?;
    if first == 0 {
        return Err(FrameError::Closed);
    }
    from.read_exact(&mut length[first..])
        .await
        .map_err(FrameError::Broken)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > limit {
        return Err(FrameError::Oversized);
    }
    let mut message = Vec::new();
    while message.len() < length {
        let start = message.len();
        message.resize(length.min(start + READ_CHUNK_BYTES), 0);
        from.read_exact(&mut message[start..])
            .await
            .map_err(FrameError::Broken)?;
    }
    Ok(message)
}
