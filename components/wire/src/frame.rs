//! Reads and writes messages on a byte stream as frames: the length in 4 bytes (big-endian), then the message.

use std::io;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::codec::{Key, MessageError, decode, encode};

/// Largest frame accepted, in bytes.
pub const MAX_FRAME: usize = 8 * 1024 * 1024;

/// Writes a message as one frame. Returns the number of bytes written.
///
/// # Errors
///
/// Returns an error if the message can't be encoded or exceeds [`MAX_FRAME`], or if writing fails.
pub async fn write_frame<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    key: &Key,
    message: &T,
) -> io::Result<usize> {
    let bytes = encode(key, message).map_err(invalid_data)?;
    if bytes.len() > MAX_FRAME {
        return Err(invalid_data(MessageError::Large));
    }
    let mut frame = Vec::with_capacity(4 + bytes.len());
    frame.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    frame.extend_from_slice(&bytes);
    stream.write_all(&frame).await?;
    stream.flush().await?;
    Ok(frame.len())
}

/// Reads one frame. Returns its message and size in bytes, or `None` if the stream ends between frames.
///
/// # Errors
///
/// Returns an error if reading fails, the stream ends within a frame, the frame exceeds [`MAX_FRAME`], or the message
/// is rejected by [`decode`].
pub async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    key: &Key,
) -> io::Result<Option<(T, usize)>> {
    match read_length(stream).await? {
        Some(length) => read_message(stream, key, length).await.map(Some),
        None => Ok(None),
    }
}

/// Reads the length of the next frame's message; `None` if the stream ends between frames.
///
/// # Errors
///
/// Returns an error if reading fails, or the frame exceeds [`MAX_FRAME`].
pub async fn read_length(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Option<usize>> {
    let mut length = [0; 4];
    match stream.read_exact(&mut length).await {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(error) => return Err(error),
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME {
        return Err(invalid_data(MessageError::Large));
    }
    Ok(Some(length))
}

/// Reads the message of a frame of this length. Returns it with the size of the frame in bytes.
///
/// # Errors
///
/// Returns an error if reading fails, the stream ends within the frame, or the message is rejected by [`decode`].
pub async fn read_message<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    key: &Key,
    length: usize,
) -> io::Result<(T, usize)> {
    // The buffer grows as data arrives, so that a large announced length alone allocates nothing.
    let mut bytes = Vec::new();
    let received = stream.take(length as u64).read_to_end(&mut bytes).await?;
    if received < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let message = decode(key, &bytes).map_err(invalid_data)?;
    Ok((message, 4 + length))
}

fn invalid_data(error: MessageError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
