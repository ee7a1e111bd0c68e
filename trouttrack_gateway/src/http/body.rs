//! Reading a caller's body, within its limits.

use super::error::{ApiError, ErrorCode};
use crate::app::Shared;
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

/// Reads the whole body.
pub(super) async fn read(shared: &Shared, id: &str, payload: Payload) -> Result<Bytes, ApiError> {
    let limits = &shared.settings.caller;
    let read = read_limited(payload, limits.max_body);
    let refuse = |code, message: String| {
        shared.note_refused(id, ErrorCode::as_str(code));
        Err(ApiError::new(code, id, message))
    };
    match tokio::time::timeout(limits.read_timeout, read).await {
        Err(_) => refuse(
            ErrorCode::SlowBody,
            "the body did not arrive in time".to_owned(),
        ),
        Ok(Err(TooLarge::Over)) => refuse(
            ErrorCode::TooLarge,
            format!("the body is larger than {} bytes", limits.max_body),
        ),
        Ok(Err(TooLarge::Broken(e))) => refuse(ErrorCode::BadRequest, e),
        Ok(Ok(body)) => Ok(body),
    }
}

enum TooLarge {
    Over,
    Broken(String),
}

async fn read_limited(mut payload: Payload, most: usize) -> Result<Bytes, TooLarge> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|e| TooLarge::Broken(e.to_string()))?;
        if body.len() + chunk.len() > most {
            return Err(TooLarge::Over);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
