//! Reading frames and checking each.

use super::{Broken, Session};
use crate::claims::Progressed;
use crate::request::attempt::Read;
use std::time::Instant;
use trouttrack_core::TokenIndex;
use trouttrack_core::request::{Delivery, Failure, FrameError, Token};
use trouttrack_telemetry::events;
use trouttrack_telemetry::trace::Hop;

/// Tokens between two reports of a stream's progress to the tables.
const PROGRESS: u64 = 32;

enum Taken {
    Token(TokenIndex, String),
    Nothing,
    Complete(String),
    Broken(Broken),
}

impl Session {
    /// Reads from the open stream. Returns what may be passed on now.
    pub(super) async fn read(&mut self) -> Vec<(TokenIndex, String)> {
        let patience = match self.cursor.next() {
            0 => self.clients.limits.first_token,
            _ => self.clients.limits.token_gap,
        };
        let mut reads = std::mem::take(&mut self.reads);
        if let Some(attempt) = &mut self.attempt {
            attempt.read(patience, &mut reads).await;
        }
        let mut tokens = Vec::new();
        let mut complete = None;
        for read in reads.drain(..) {
            match self.take(read) {
                Taken::Token(index, text) => tokens.push((index, text)),
                Taken::Nothing => {}
                Taken::Complete(reason) => {
                    complete = Some(reason);
                    break;
                }
                Taken::Broken(broken) => {
                    self.broken = Some(broken);
                    self.attempt = None;
                    break;
                }
            }
        }
        self.reads = reads;
        self.note_tokens(tokens.len());
        if self.parts.service.delivery == Delivery::Whole {
            self.held.append(&mut tokens);
        }
        if let Some(reason) = complete {
            self.complete(reason);
            tokens.append(&mut self.held);
        }
        tokens
    }

    fn note_tokens(&mut self, count: usize) {
        if count == 0 {
            return;
        }
        let now = Instant::now();
        if self.last_token.is_none() {
            self.metrics.first(now.duration_since(self.parts.arrived));
            self.hop(Hop::FirstToken);
            self.note_stream();
        }
        let gap = self.last_token.map(|t| now.duration_since(t));
        self.metrics.tokens(count as u64, gap);
        self.last_token = Some(now);
        self.resumes = 0;
        self.note_progress(count as u64);
    }

    /// Tells the tables every so often how far the stream is.
    fn note_progress(&self, count: u64) {
        let (now, before) = (self.cursor.next(), self.cursor.next() - count);
        if now / PROGRESS != before / PROGRESS
            && let Some(ticket) = self.placed.as_ref().and_then(|p| p.ticket.as_ref())
        {
            ticket.progress(now);
        }
    }

    /// A repeat with the same key may attach to the stream from now on.
    fn note_stream(&self) {
        if self.parts.claimed
            && let Some(handle) = self.handle()
        {
            let progressed = Progressed::Stream(handle);
            self.shared.note_claimed(&self.parts.id, progressed);
        }
    }

    /// Checks one frame.
    fn take(&mut self, read: Read) -> Taken {
        match read {
            Read::Token {
                stream,
                generation,
                index,
                text,
            } => {
                let token = Token {
                    stream: &stream,
                    generation,
                    index,
                };
                match self.cursor.accept(token) {
                    Ok(true) => {
                        self.machine.token();
                        Taken::Token(index, text)
                    }
                    Ok(false) => {
                        self.shared.metrics.frame_refused("duplicate");
                        Taken::Nothing
                    }
                    Err(e) => self.bad_frame(&e),
                }
            }
            Read::End {
                stream,
                generation,
                tokens,
                reason,
            } => {
                let aborted = reason == "abort";
                match self.cursor.finish(&stream, generation, tokens) {
                    Ok(()) if aborted => Taken::Broken(Broken {
                        failure: Failure::Aborted,
                        detail: "the engine ended the generation".to_owned(),
                        silent: false,
                    }),
                    Ok(()) => Taken::Complete(reason),
                    Err(e) => self.bad_frame(&e),
                }
            }
            Read::Silent => {
                events::UPSTREAM_SILENT.log(format_args!(
                    "request={} upstream={} after_token={}",
                    self.parts.id,
                    self.upstream(),
                    self.cursor.next()
                ));
                Taken::Broken(Broken {
                    failure: Failure::Lost,
                    detail: "the upstream went silent".to_owned(),
                    silent: true,
                })
            }
            Read::Lost(detail) => {
                events::UPSTREAM_LOST.log(format_args!(
                    "request={} upstream={} after_token={}: {detail}",
                    self.parts.id,
                    self.upstream(),
                    self.cursor.next()
                ));
                Taken::Broken(Broken {
                    failure: Failure::Lost,
                    detail,
                    silent: false,
                })
            }
        }
    }

    fn bad_frame(&mut self, e: &FrameError) -> Taken {
        let reason = match e {
            FrameError::OtherStream { .. } => "crossed",
            FrameError::OtherGeneration { .. } => "other-generation",
            FrameError::Gap { .. } => "gap",
            _ => "other",
        };
        self.shared.metrics.frame_refused(reason);
        events::FRAME_REFUSED.log(format_args!(
            "request={} upstream={} reason={reason}: {e}",
            self.parts.id,
            self.upstream()
        ));
        Taken::Broken(Broken {
            failure: Failure::Lost,
            detail: e.to_string(),
            silent: false,
        })
    }
}
