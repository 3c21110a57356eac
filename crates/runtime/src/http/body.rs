//! Bodies of requests and responses.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use thiserror::Error;

/// The body of responses of our own, and of requests to instances.
pub type Body = http_body_util::combinators::BoxBody<Bytes, std::io::Error>;

/// A body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is longer than its limit. A retry does not help.
    #[error("the body is too large")]
    TooLarge,
    /// The connection failed before its end. The caller may retry.
    #[error("the connection failed before the end of the body")]
    Interrupted,
}

/// Returns a body with these bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: std::convert::Infallible| match never {})
        .boxed()
}

/// Reads a body of at most `limit` bytes to its end.
pub async fn read_limited_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(failure) if failure.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge)
        }
        Err(_) => Err(BodyError::Interrupted),
    }
}
