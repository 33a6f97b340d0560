//! Encoding of the values in a shard's log: a format version, a checksum and the value
//! in postcard format.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the format: the first byte of each value.
const FORMAT_VERSION: u8 = 1;

/// Length in bytes of the checksum, which follows the format version. It is needed
/// because a damaged value can still be valid postcard.
const CHECKSUM_LEN: usize = 8;

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, String> {
    let payload = postcard::to_allocvec(value).map_err(|e| e.to_string())?;
    let mut bytes = Vec::with_capacity(1 + CHECKSUM_LEN + payload.len());
    bytes.push(FORMAT_VERSION);
    bytes.extend_from_slice(&blake3::hash(&payload).as_bytes()[..CHECKSUM_LEN]);
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Decodes a value. The error says why the value is invalid.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let Some((&format, rest)) = bytes.split_first() else {
        return Err("the value is empty".into());
    };
    if format != FORMAT_VERSION {
        return Err(format!(
            "the value has format version {format}, and this program reads version {FORMAT_VERSION}"
        ));
    }
    let Some((checksum, payload)) = rest.split_at_checked(CHECKSUM_LEN) else {
        return Err(format!("the value is truncated to {} bytes", bytes.len()));
    };
    if checksum != &blake3::hash(payload).as_bytes()[..CHECKSUM_LEN] {
        return Err("the checksum does not match".into());
    }
    let (value, excess) = postcard::take_from_bytes(payload).map_err(|e| e.to_string())?;
    if !excess.is_empty() {
        return Err(format!("{} bytes follow the value", excess.len()));
    }
    Ok(value)
}
