//! The rest of an answer that is too long to be held.

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

/// What follows the bytes of an answer that are held, as it comes.
///
/// Its connection is used again once it has ended; dropped before, it is closed,
/// so that what is left of it cannot reach another request.
#[derive(Debug)]
pub struct RemainingBody {
    incoming: Incoming,
    /// Boxed, as nearly all answers have no rest and are handed about.
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
                    busy.give_back();
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
        // Its end has to be polled for, as the connection goes back only then.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
