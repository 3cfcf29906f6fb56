//! Calls to the leader of the control group: to propose a change, or to get a read index.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::task;
use futures::channel::oneshot;

use super::Shared;
use crate::catalog::change::Change;
use crate::catalog::change::Op;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::fleet::link::Link;
use crate::fleet::message::CallOutcome;
use crate::fleet::message::Frame;
use crate::replica::Role;

/// Time limit of a call to the leader; less than the 1 s for which callers of the operator interface wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time limit of the wait for an elected leader; part of [`CALL_TIMEOUT`].
const LEADER_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between checks for an elected leader or an applied index.
pub(super) const POLL_PERIOD: Duration = Duration::from_millis(15);

/// The leader: this VM, or the one at the other end of a connection.
enum Leader {
    Local,
    Remote(Link),
}

/// The error of a failed call, from the number of its code.
fn code_error(code: u16) -> Error {
    Code::from_number(code).unwrap_or(Code::BadAnswer).into()
}

impl Shared {
    /// Proposes a change to the leader and returns its outcome once it is committed and applied.
    pub(super) async fn propose_change(&self, op: Op) -> Result<crate::catalog::change::Outcome> {
        let change = Change {
            id: Default::default(),
            expect: 0,
            op,
        };
        let data = serde_json::to_vec(&change).map_err(|e| Error::new(Code::BadParams, e.to_string()))?;
        let deadline = Instant::now() + CALL_TIMEOUT;
        let result = match self.find_leader(deadline).await? {
            Leader::Local => self.replication()?.propose(data).await?,
            Leader::Remote(link) => {
                let outcome = self
                    .call_leader(&link, deadline, |number| Frame::Propose { number, data })
                    .await?;
                match outcome {
                    CallOutcome::Applied(result) => result,
                    CallOutcome::Failed(code) => return Err(code_error(code)),
                    CallOutcome::ReadIndex(_) => return Err(Code::BadAnswer.into()),
                }
            }
        };
        serde_json::from_slice(&result).map_err(|e| Error::new(Code::BadAnswer, e.to_string()))
    }

    /// Waits until this replica has applied every change that was committed before the call. The leader confirms with
    /// a majority that it still leads.
    ///
    /// # Errors
    /// `NotLeader`, `NoQuorum` or `Timeout`.
    pub(super) async fn catch_up(&self) -> Result<()> {
        let replication = self.replication()?;
        let deadline = Instant::now() + CALL_TIMEOUT;
        let index = match self.find_leader(deadline).await? {
            Leader::Local => replication.read_index().await?,
            Leader::Remote(link) => match self
                .call_leader(&link, deadline, |number| Frame::ReadIndex { number })
                .await?
            {
                CallOutcome::ReadIndex(index) => index,
                CallOutcome::Failed(code) => return Err(code_error(code)),
                CallOutcome::Applied(_) => return Err(Code::BadAnswer.into()),
            },
        };
        while replication.status().applied < index {
            if Instant::now() >= deadline {
                return Err(Error::new(Code::Timeout, "this replica is behind the leader"));
            }
            task::sleep(POLL_PERIOD).await;
        }
        Ok(())
    }

    /// The leader; while there is none, waits for an election until the deadline, at most [`LEADER_TIMEOUT`].
    async fn find_leader(&self, deadline: Instant) -> Result<Leader> {
        let until = deadline.min(Instant::now() + LEADER_TIMEOUT);
        loop {
            let status = self.replication()?.status();
            if status.role == Role::Leader {
                return Ok(Leader::Local);
            }
            if let Some(link) = status.leader.and_then(|vm| self.control_link(&vm)) {
                return Ok(Leader::Remote(link));
            }
            if Instant::now() >= until {
                return Err(Error::new(Code::NotLeader, "no leader is known"));
            }
            task::sleep(POLL_PERIOD).await;
        }
    }

    /// Sends a numbered call and waits for its reply.
    async fn call_leader(
        &self,
        link: &Link,
        deadline: Instant,
        frame: impl FnOnce(u64) -> Frame,
    ) -> Result<CallOutcome> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.state.lock().pending_calls.insert(number, sender);
        link.send(&frame(number));
        let left = deadline.saturating_duration_since(Instant::now());
        let answer = future::timeout(left, receiver).await;
        self.state.lock().pending_calls.remove(&number);
        match answer {
            Ok(Ok(outcome)) => Ok(outcome),
            _ => Err(Error::new(Code::Timeout, "the leader did not answer")),
        }
    }
}
