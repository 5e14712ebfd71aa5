//! An answer that is too long to be held, on its way to the caller.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_pool::AnswerRest;
use hawthorn_pool::Error;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use log::Level;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::request::order::RequestOrder;

/// A body whose beginning is here and whose rest is passed on as it comes.
///
/// Failure: the target breaks off, falls silent or the caller's time ends when
/// a part of the answer is on its way already. What was announced is never made
/// up: the connection to the caller ends before the answer does, and the answer
/// does not look whole. A caller that leaves drops it, which ends the work at
/// the target.
#[derive(Debug)]
pub(crate) struct PassedBody {
    held: Option<Bytes>,
    rest: AnswerRest,
    order: Rc<RequestOrder>,
    over: Pin<Box<Sleep>>,
}

impl PassedBody {
    pub(crate) fn new(held: Bytes, rest: AnswerRest, order: Rc<RequestOrder>) -> Self {
        let left = order.time_left(host_now());
        let held = Some(held).filter(|held| !held.is_empty());
        Self { held, rest, order, over: Box::pin(sleep(left)) }
    }

    fn end(&self, error: Error) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let id = self.order.attempt_id.as_deref().unwrap_or("-");
        edge_event!(
            Level::Warn,
            EdgeEvent::AnswerCut,
            "request={id} route={} error=\"{error}\"",
            self.order.route.name
        );
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for PassedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(held) = self.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        match Pin::new(&mut self.rest).poll_frame(context) {
            Poll::Ready(Some(Err(error))) => self.end(error),
            Poll::Ready(frame) => Poll::Ready(frame),
            Poll::Pending => {
                // The timer stands still while the host is suspended; the clock does not.
                let waiting = self.over.as_mut().poll(context).is_pending();
                if waiting && self.order.time_left(host_now()) > Duration::ZERO {
                    return Poll::Pending;
                }
                self.end(Error::TimedOut)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        match rest.exact() {
            Some(rest) => SizeHint::with_exact(held + rest),
            None => SizeHint::default(),
        }
    }
}
