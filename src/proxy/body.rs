//! Reads the bodies of requests within the memory budget of the process.

use std::io;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::io::Read;
use tide::http::Request;

use crate::body_budget;
use crate::body_budget::BodyShare;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;

use super::Shared;
use super::Stages;

/// Longest wait for memory for a body: a caller leaves a VM that hasn't read its request after a second or a third of
/// its time.
const MEMORY_WAIT: Duration = Duration::from_millis(500);
/// Part of the time left, and of the time in which its body must arrive, that a request may wait for memory.
const WAIT_PART: u32 = 4;
/// How long the rest of a refused body is read, without being kept: the caller doesn't see the refusal of a connection
/// that is closed while it still sends.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Memory that is reserved at first for a body of unknown length, in bytes; doubled as it grows.
const FIRST_BYTES: usize = 16 << 10;

/// A request body with its part of the memory budget.
#[derive(Debug)]
pub(super) struct RequestBody {
    bytes: Vec<u8>,
    _share: BodyShare,
}

impl RequestBody {
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl<S: Stages> Shared<S> {
    /// Reads the body of a request.
    ///
    /// # Errors
    /// `BodyTooLarge`, `Overloaded` if the bodies of other requests leave no memory, `DeadlineBefore`, `SlowSender` or
    /// `BadRequest`.
    pub(super) async fn read_body(&self, request: &mut Request, deadline: Instant) -> Result<RequestBody> {
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = left.min(self.settings.read_timeout);
        let length = request.len();
        let mut body = request.take_body();
        let read = self.read_within(&mut body, length, left);
        let result = match future::timeout(limit, read).await {
            Err(_) if left < self.settings.read_timeout => Err(Code::DeadlineBefore.into()),
            Err(_) => Err(Code::SlowSender.into()),
            Ok(result) => result,
        };
        if matches!(&result, Err(e) if e.code == Code::Overloaded) {
            discard(&mut body).await;
        }
        result
    }

    async fn read_within(
        &self,
        body: &mut (impl Read + Unpin),
        length: Option<usize>,
        left: Duration,
    ) -> Result<RequestBody> {
        let max_bytes = self.settings.body_limit;
        let too_large = || {
            let detail = format!("the body is larger than {max_bytes} bytes");
            Error::new(Code::BodyTooLarge, detail)
        };
        if length.is_some_and(|length| length > max_bytes) {
            return Err(too_large());
        }
        let wait = MEMORY_WAIT
            .min(left / WAIT_PART)
            .min(self.settings.read_timeout / WAIT_PART);
        let mut share = self.bodies.share();
        let mut bytes = Vec::new();
        if length != Some(0) {
            self.grow(&mut share, &mut bytes, length.unwrap_or(FIRST_BYTES), wait)
                .await?;
        }
        loop {
            share.record_part(Instant::now());
            let part = body_budget::next_part(body, &share).await?;
            let count = part.len();
            if count == 0 {
                share.end_read();
                return Ok(RequestBody { bytes, _share: share });
            }
            if bytes.len() + count > max_bytes {
                return Err(too_large());
            }
            if bytes.len() + count > bytes.capacity() {
                let capacity = (2 * bytes.capacity()).max(bytes.len() + count).min(max_bytes);
                self.grow(&mut share, &mut bytes, capacity, wait).await?;
            }
            bytes.extend_from_slice(&part);
        }
    }

    /// Gives the buffer a larger capacity. The old and the new one may exist side by side while it is copied.
    async fn grow(
        &self,
        share: &mut BodyShare,
        bytes: &mut Vec<u8>,
        capacity: usize,
        wait: Duration,
    ) -> Result<()> {
        if !share.grow(capacity, wait).await {
            let (used, limit) = (self.bodies.used(), self.bodies.limit());
            let detail =
                format!("no memory for a body of {capacity} bytes: other bodies take {used} of {limit}");
            return Err(Error::new(Code::Overloaded, detail));
        }
        bytes.reserve_exact(capacity - bytes.len());
        share.shrink_to(capacity);
        Ok(())
    }
}

async fn discard(body: &mut (impl Read + Unpin)) {
    let rest = async {
        while !body_budget::read_part(body).await?.is_empty() {}
        Ok::<(), io::Error>(())
    };
    // What is left after the timeout ends with the connection.
    let _ = future::timeout(DISCARD_TIMEOUT, rest).await;
}
