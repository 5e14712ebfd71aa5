//! Reads a caller's request with limits on size and time; every fault has a typed reason.

use std::time::Duration;

use dropshot::StreamingBody;
use futures::StreamExt;
use futures::pin_mut;
use hawthorn_types::RefusalReason;
use serde::de::DeserializeOwned;

/// Limits of reading a body.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum size in bytes.
    pub max_bytes: usize,
    /// Maximum time from the head of the request to the end of its body. Without it, a client that
    /// sends slowly could occupy resources indefinitely.
    pub timeout: Duration,
}

/// Reads the body and parses it as JSON.
///
/// # Errors
/// [`RefusalReason::BodyTooLarge`], [`RefusalReason::SlowClient`] or
/// [`RefusalReason::BadRequest`].
pub async fn read<T: DeserializeOwned>(
    body: StreamingBody,
    options: Options,
) -> Result<T, RefusalReason> {
    let bytes = tokio::time::timeout(options.timeout, collect(body, options.max_bytes))
        .await
        .map_err(|_| RefusalReason::SlowClient)??;
    serde_json::from_slice(&bytes).map_err(|_| RefusalReason::BadRequest)
}

async fn collect(body: StreamingBody, max_bytes: usize) -> Result<Vec<u8>, RefusalReason> {
    let stream = body.into_stream();
    pin_mut!(stream);
    let mut bytes = Vec::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|_| RefusalReason::BadRequest)?;
        if bytes.len() + chunk.len() > max_bytes {
            return Err(RefusalReason::BodyTooLarge);
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}
