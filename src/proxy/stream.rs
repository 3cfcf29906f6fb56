//! Long answers: a task reads them from the upstream and hands them to the caller's connection.
//!
//! The end of an answer is a message of its own, so that an answer that stops for any reason,
//! also a panic of the task, is an error for the caller's connection and never a normal end.

use std::io;
use std::sync::Arc;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::io::ReadExt;
use async_std::task;
use futures::TryStreamExt;
use futures::stream;
use tide::http::Body;
use tide::http::Response;

use crate::answer;
use crate::answer::KEEP_BYTES;
use crate::answer::Reply;
use crate::answer::STALL_LIMIT;
use crate::frame::Frame;
use crate::frame::Framing;
use crate::pool::Connection;
use crate::stage::Attempt;
use crate::stage::Ending;

use super::Busy;
use super::Shared;
use super::Stages;
use super::Ticket;
use super::attempt::InFlight;
use super::attempt::keep;
use super::job::Job;

/// Parts of an answer that wait for the caller.
const PARTS: usize = 2;
const PART_BYTES: usize = 16 << 10;

enum Part {
    Bytes(Vec<u8>),
    End,
}

/// An answer that is being read.
pub(crate) struct Open<S: Stages> {
    pub(crate) job: Arc<Job>,
    pub(crate) flight: InFlight<S>,
    pub(crate) ticket: Option<Ticket<S>>,
    pub(crate) reply: Reply,
    pub(crate) frame: Frame,
    pub(crate) conn: Connection,
    /// First bytes of the body, which were read already.
    pub(crate) head: Vec<u8>,
}

/// The response whose body a new task reads.
pub(crate) fn respond<S: Stages>(shared: &Arc<Shared<S>>, open: Open<S>) -> Response {
    let mut response = open.reply.response();
    let length = match open.reply.framing {
        Framing::Length(length) => usize::try_from(length).ok(),
        _ => None,
    };
    let (sender, receiver) = channel::bounded(PARTS);
    answer::set_body(&mut response, body(receiver, length));
    let busy = Busy::new(shared);
    task::spawn(async move {
        pump(open, sender, &busy).await;
    });
    response
}

fn body(receiver: Receiver<Part>, length: Option<usize>) -> Body {
    let parts = stream::try_unfold(receiver, |receiver| async {
        match receiver.recv().await {
            Ok(Part::Bytes(bytes)) => Ok(Some((bytes, receiver))),
            Ok(Part::End) => Ok(None),
            Err(_) => Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the answer was cut")),
        }
    });
    Body::from_reader(Box::pin(parts).into_async_read(), length)
}

async fn pump<S: Stages>(mut open: Open<S>, sender: Sender<Part>, busy: &Busy<S>) {
    let mut kept = Some(Vec::new());
    let attempt = read(&mut open, &sender, &mut kept).await;
    let shared = &busy.0;
    let whole = matches!(attempt, Attempt::Answered | Attempt::Failed);
    if whole {
        keep(shared, &open.reply, &open.frame, open.conn);
    }
    open.flight.end(attempt);
    let ending = Ending::Answered(open.reply.kept(kept.filter(|_| whole)));
    let finish = shared.finish_claim(open.ticket, ending);
    let end = async {
        match whole {
            true => sender.send(Part::End).await.is_ok(),
            // The caller's connection takes a channel that closes without an end for a cut.
            false => sender.close(),
        }
    };
    futures::join!(finish, end);
}

async fn read<S: Stages>(open: &mut Open<S>, sender: &Sender<Part>, kept: &mut Option<Vec<u8>>) -> Attempt {
    let head = std::mem::take(&mut open.head);
    if !head.is_empty() {
        if open.ticket.is_some() {
            keep_part(kept, &head);
        }
        if sender.send(Part::Bytes(head)).await.is_err() && open.job.idempotent {
            return Attempt::Cancelled;
        }
    }
    let mut part = vec![0; PART_BYTES];
    loop {
        let count = match future::timeout(STALL_LIMIT, open.frame.read(&mut part)).await {
            Err(_) => return Attempt::Late,
            Ok(Err(_)) => return Attempt::Cut,
            Ok(Ok(0)) if open.reply.status.is_server_error() => return Attempt::Failed,
            Ok(Ok(0)) => return Attempt::Answered,
            Ok(Ok(count)) => count,
        };
        if open.ticket.is_some() {
            keep_part(kept, &part[..count]);
        }
        let bytes = Part::Bytes(part[..count].to_vec());
        // A non-idempotent request is read to its end although its caller has left.
        if sender.send(bytes).await.is_err() && open.job.idempotent {
            return Attempt::Cancelled;
        }
    }
}

fn keep_part(kept: &mut Option<Vec<u8>>, part: &[u8]) {
    let Some(bytes) = kept else { return };
    if bytes.len() + part.len() > KEEP_BYTES {
        *kept = None;
        return;
    }
    bytes.extend_from_slice(part);
}
