//! Reads a caller's request with limits on size and time; every fault has a typed reason.

use std::time::Duration;

use dropshot::StreamingBody;
use futures::StreamExt;
use futures::pin_mut;
use hawthorn_connections::body::BodyBuffer;
use hawthorn_connections::budget::READ_BYTES;
use hawthorn_connections::table::ConnectionSlot;
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

/// Reads the body and parses it as JSON. The slot counts it against the memory for all bodies.
///
/// # Errors
/// [`RefusalReason::BodyTooLarge`], [`RefusalReason::SlowClient`], [`RefusalReason::QueueFull`] or
/// [`RefusalReason::BadRequest`].
pub async fn read<T: DeserializeOwned>(
    body: StreamingBody,
    options: Options,
    slot: &ConnectionSlot,
) -> Result<T, RefusalReason> {
    let bytes = tokio::time::timeout(options.timeout, collect(body, options.max_bytes, slot))
        .await
        .map_err(|_| RefusalReason::SlowClient)??;
    if !slot.complete() {
        return Err(RefusalReason::QueueFull);
    }
    serde_json::from_slice(&bytes).map_err(|_| RefusalReason::BadRequest)
}

async fn collect(
    body: StreamingBody,
    max_bytes: usize,
    slot: &ConnectionSlot,
) -> Result<Vec<u8>, RefusalReason> {
    let stream = body.into_stream();
    pin_mut!(stream);
    let mut buffer = BodyBuffer::new(0, max_bytes);
    let evicted = RefusalReason::QueueFull;
    loop {
        slot.grant(READ_BYTES).await.map_err(|_| evicted)?;
        let next = slot.evicted().run_until_cancelled(stream.next()).await.ok_or(evicted)?;
        let Some(chunk) = next else { return Ok(buffer.into_bytes()) };
        let chunk = chunk.map_err(|_| RefusalReason::BadRequest)?;
        slot.received(chunk.len());
        buffer.extend(&chunk).map_err(|_| RefusalReason::BodyTooLarge)?;
    }
}
