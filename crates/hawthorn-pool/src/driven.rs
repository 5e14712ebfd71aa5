//! A connection that is driven by the exchange it carries.
//!
//! Handles a query over ninety shards on a host short of processor time: all its requests
//! are created in one turn of the event loop, each with the time that its caller has left.
//! With a task for each connection, all requests would be created before the first is
//! written, and the time left that they state would partly have passed by then. Here a request
//! is written in the poll that creates it, before any other task runs.
//!
//! An idle connection is not driven. That it was closed is detected when it is next acquired.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::Connection;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::io::Join;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

use crate::head_limit::HeadBudget;
use crate::head_limit::LimitedReader;

/// Maximum number of bytes that are read ahead of what the caller of an answer takes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

type TargetConnection = Connection<TokioIo<TargetStream>, Full<Bytes>>;

/// A connection to a target whose answers' heads are limited.
pub(crate) type TargetStream = Join<LimitedReader, OwnedWriteHalf>;

/// A connection and the sender that submits requests to it.
#[derive(Debug)]
pub(crate) struct DrivenSender {
    sender: SendRequest<Full<Bytes>>,
    /// `None` once the connection has closed.
    connection: Option<TargetConnection>,
    head_budget: HeadBudget,
}

impl DrivenSender {
    /// Begins to speak HTTP on an open connection.
    pub(crate) async fn handshake(stream: TcpStream) -> hyper::Result<Self> {
        let head_budget = HeadBudget::new();
        let (reader, writer) = stream.into_split();
        let stream = tokio::io::join(LimitedReader::new(reader, head_budget.clone()), writer);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        Ok(Self { sender, connection: Some(connection), head_budget })
    }

    /// Reads and writes as much as possible without waiting.
    pub(crate) fn poll(&mut self, context: &mut Context<'_>) {
        let Some(connection) = &mut self.connection else { return };
        // The exchange in progress, if any, receives the error from its own future.
        if Pin::new(connection).poll(context).is_ready() {
            self.connection = None;
        }
    }

    /// Whether the connection is known to be closed.
    pub(crate) fn is_closed(&mut self) -> bool {
        // A no-op waker suffices: an exchange polls again before it waits.
        self.poll(&mut Context::from_waker(Waker::noop()));
        self.connection.is_none() || self.sender.is_closed()
    }

    /// Waits until a request can be sent.
    pub(crate) async fn ready(&mut self) -> hyper::Result<()> {
        poll_fn(|context| {
            self.poll(context);
            self.sender.poll_ready(context)
        })
        .await
    }

    /// Writes the request and returns the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.head_budget.begin();
        let response = self.sender.send_request(request);
        let response = self.drive(response).await;
        self.head_budget.end();
        response
    }

    /// Drives the connection until a future that depends on it is ready.
    pub(crate) async fn drive<T>(&mut self, future: impl Future<Output = T>) -> T {
        let mut future = pin!(future);
        poll_fn(|context| match future.as_mut().poll(context) {
            Poll::Ready(output) => Poll::Ready(output),
            Poll::Pending => {
                self.poll(context);
                future.as_mut().poll(context)
            }
        })
        .await
    }
}
