//! Streaming of a forwarded answer that is too long to hold in memory.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_pool::Error;
use hawthorn_pool::RemainingBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use log::Level;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::request::context::RequestContext;

/// A body whose beginning is buffered and whose remainder is streamed.
///
/// The target may disconnect or stop sending, or the deadline may pass, after a part of the answer
/// has been sent. The connection to the caller is then closed before the announced length is
/// reached, so that the caller does not mistake the answer for a complete one. If the caller
/// disconnects, the body is dropped, which cancels the work at the target.
#[derive(Debug)]
pub(crate) struct ForwardedBody {
    buffered: Option<Bytes>,
    remaining: RemainingBody,
    context: Rc<RequestContext>,
    deadline_timer: Pin<Box<Sleep>>,
}

impl ForwardedBody {
    pub(crate) fn new(
        buffered: Bytes,
        remaining: RemainingBody,
        context: Rc<RequestContext>,
    ) -> Self {
        let left = context.time_left(host_now());
        let buffered = Some(buffered).filter(|buffered| !buffered.is_empty());
        Self { buffered, remaining, context, deadline_timer: Box::pin(sleep(left)) }
    }

    fn end(&self, error: Error) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let id = self.context.attempt_id.as_deref().unwrap_or("-");
        edge_event!(
            Level::Warn,
            EdgeEvent::AnswerCut,
            "request={id} route={} error=\"{error}\"",
            self.context.route.name
        );
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        match Pin::new(&mut self.remaining).poll_frame(context) {
            Poll::Ready(Some(Err(error))) => self.end(error),
            Poll::Ready(frame) => Poll::Ready(frame),
            Poll::Pending => {
                // The timer stops while the host is suspended, but the clock does not.
                let waiting = self.deadline_timer.as_mut().poll(context).is_pending();
                if waiting && self.context.time_left(host_now()) > Duration::ZERO {
                    return Poll::Pending;
                }
                self.end(Error::TimedOut)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.as_ref().map_or(0, Bytes::len) as u64;
        let remaining = self.remaining.size_hint();
        match remaining.exact() {
            Some(remaining) => SizeHint::with_exact(buffered + remaining),
            None => SizeHint::default(),
        }
    }
}
