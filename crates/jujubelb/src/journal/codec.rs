//! Encoding of the values in a shard's log: a format version, a checksum, and postcard.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the format, the first byte of each value.
const FORMAT: u8 = 1;

/// Bytes of the checksum that follow the format version. A damaged value can be
/// valid postcard, so the codec alone does not find all damage.
const CHECKSUM: usize = 8;

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, String> {
    let payload = postcard::to_allocvec(value).map_err(|e| e.to_string())?;
    let mut bytes = Vec::with_capacity(1 + CHECKSUM + payload.len());
    bytes.push(FORMAT);
    bytes.extend_from_slice(&blake3::hash(&payload).as_bytes()[..CHECKSUM]);
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Decodes a value. The error says what is wrong with it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let Some((&format, rest)) = bytes.split_first() else {
        return Err("the value is empty".into());
    };
    if format != FORMAT {
        return Err(format!(
            "the value has format {format} and this version reads format {FORMAT}"
        ));
    }
    let Some((checksum, payload)) = rest.split_at_checked(CHECKSUM) else {
        return Err(format!("the value has only {} bytes", bytes.len()));
    };
    if checksum != &blake3::hash(payload).as_bytes()[..CHECKSUM] {
        return Err("the checksum does not match".into());
    }
    let (value, excess) = postcard::take_from_bytes(payload).map_err(|e| e.to_string())?;
    if !excess.is_empty() {
        return Err(format!("{} bytes follow the value", excess.len()));
    }
    Ok(value)
}
