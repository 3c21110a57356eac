//! The one module that each file of this program imports.

pub use std::pin::Pin;
pub use std::task::{Context, Poll};
pub use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

pub use runtime::prelude::*;

pub use crate::carrier::*;
pub use crate::dialect::*;
pub use crate::gate::*;
pub use crate::instance_connections::*;
pub use crate::passing::*;
pub use crate::usage::*;
