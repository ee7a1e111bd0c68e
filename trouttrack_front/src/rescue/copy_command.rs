//! The command to an engine to copy the KV cache of a generation.

use super::generation_move::GenerationMove;
use crate::state::Upstream;
use std::time::Duration;
use trouttrack_platform::MoveAnswer;
use trouttrack_telemetry::{events, record};

/// Result of a copy command.
#[derive(Debug)]
pub(super) enum CopyResult {
    Answered(MoveAnswer),
    /// No usable response; the command may have been carried out.
    NoAnswer,
    /// The engine has exited; retries are useless.
    EngineExited,
}

impl GenerationMove {
    /// Commands the source to copy to `target`, and to stop the generation if `stop` is set.
    pub(super) async fn send_copy_command(
        &self,
        target: &Upstream,
        stop: bool,
        timeout: Duration,
    ) -> CopyResult {
        let started_at = self.front.clock.now();
        let answer = self
            .front
            .engines
            .copy(self.source.addr, &self.id, target.addr, stop, timeout)
            .await;
        let elapsed = self.front.clock.now().saturating_sub(started_at);
        let answer_name = match &answer {
            Ok(MoveAnswer::Copied { .. }) => "copied",
            Ok(MoveAnswer::NotFound) => "not found",
            Ok(MoveAnswer::Busy) => "busy",
            Ok(MoveAnswer::NoRoom { .. }) => "no room",
            Err(e) if e.has_ended() => "ended",
            Err(_) => "no answer",
        };
        record!(
            events::COPIED,
            request = self.id.as_str(),
            from = self.source.id.as_str(),
            to = target.id.as_str(),
            stop = stop,
            answer = answer_name,
            took_ms = elapsed.as_millis() as u64,
        );
        match answer {
            Ok(answer) => CopyResult::Answered(answer),
            Err(e) if e.has_ended() => CopyResult::EngineExited,
            Err(_) => CopyResult::NoAnswer,
        }
    }
}
