//! Reads and writes sealed messages on a byte stream, each after its length.

use std::io;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::seal::{Key, MessageError, open, seal};

/// Largest frame accepted, in bytes.
pub const MAX_FRAME: usize = 8 * 1024 * 1024;

/// Writes one frame. Returns the bytes written.
pub async fn write<T: Serialize>(stream: &mut (impl AsyncWrite + Unpin), key: &Key, message: &T) -> io::Result<usize> {
    let bytes = seal(key, message).map_err(refused)?;
    if bytes.len() > MAX_FRAME {
        return Err(refused(MessageError::Large));
    }
    let mut framed = Vec::with_capacity(4 + bytes.len());
    framed.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    framed.extend_from_slice(&bytes);
    stream.write_all(&framed).await?;
    stream.flush().await?;
    Ok(framed.len())
}

/// Reads one frame; `None` when the stream ends between frames.
pub async fn read<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    key: &Key,
) -> io::Result<Option<(T, usize)>> {
    let mut length = [0; 4];
    match stream.read_exact(&mut length).await {
        Ok(_) => {}
        Err(fault) if fault.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(fault) => return Err(fault),
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME {
        return Err(refused(MessageError::Large));
    }
    // Grows with what really arrives: a length alone reserves nothing.
    let mut bytes = Vec::new();
    let taken = stream.take(length as u64).read_to_end(&mut bytes).await?;
    if taken < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let message = open(key, &bytes).map_err(refused)?;
    Ok(Some((message, 4 + length)))
}

fn refused(fault: MessageError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, fault)
}
