//! A request from its complete head until its answer has been sent.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hawthorn_connections::table::ConnectionSlot;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::connection::head::HeadWatch;
use crate::process::host::RouteHost;
use crate::request::answer::AnswerBody;

/// An open request: counted by the host and recorded in its connection's watch.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    host: Rc<RouteHost>,
    watch: Rc<HeadWatch>,
    slot: Rc<ConnectionSlot>,
}

impl OpenRequest {
    pub(crate) fn new(host: Rc<RouteHost>, watch: Rc<HeadWatch>, slot: Rc<ConnectionSlot>) -> Self {
        host.open_requests.set(host.open_requests.get() + 1);
        watch.head_complete();
        Self { host, watch, slot }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.host.open_requests.set(self.host.open_requests.get() - 1);
        self.watch.answered();
        self.slot.answered();
    }
}

/// The body of an answer; the request stays open until the body is dropped.
#[derive(Debug)]
pub(crate) struct OpenBody {
    body: AnswerBody,
    open: OpenRequest,
}

impl OpenBody {
    pub(crate) fn new(body: AnswerBody, open: OpenRequest) -> Self {
        Self { body, open }
    }
}

impl Body for OpenBody {
    type Data = Bytes;
    type Error = <AnswerBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &frame {
            self.open.slot.hold(frame.data_ref().map_or(0, Bytes::len));
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
