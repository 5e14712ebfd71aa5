//! The part of an answer body that exceeds the buffer limit.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::BusySender;
use crate::Error;

/// Streams the part of an answer body that follows the buffered bytes.
///
/// The connection is reused once the body has ended. If this is dropped earlier the
/// connection is closed, so that unread bytes cannot be taken for another request's answer.
#[derive(Debug)]
pub struct RemainingBody {
    incoming: Incoming,
    /// Boxed to keep `PoolAnswer` small when it is moved: nearly all answers are fully
    /// buffered.
    busy: Option<Box<BusySender>>,
}

impl RemainingBody {
    pub(crate) fn new(incoming: Incoming, busy: BusySender) -> Self {
        Self { incoming, busy: Some(Box::new(busy)) }
    }
}

impl Body for RemainingBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = match Pin::new(&mut self.incoming).poll_frame(context) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                if let Some(busy) = &mut self.busy {
                    busy.sender.poll(context);
                }
                ready!(Pin::new(&mut self.incoming).poll_frame(context))
            }
        };
        let broken = |error: hyper::Error| Error::Broken(error.to_string());
        match frame {
            None => {
                if let Some(busy) = self.busy.take() {
                    busy.release();
                }
                Poll::Ready(None)
            }
            Some(Err(error)) => {
                self.busy = None;
                Poll::Ready(Some(Err(broken(error))))
            }
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
        }
    }

    fn is_end_stream(&self) -> bool {
        // The connection returns to the pool only when the end of the body is polled.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
