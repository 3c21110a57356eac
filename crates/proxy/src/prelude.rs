//! The one module that each file of this program imports.

pub use std::os::fd::RawFd;
pub use std::pin::Pin;
pub use std::task::{Context, Poll};
pub use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

pub use runtime::prelude::*;

pub(crate) use crate::attempt::*;
pub use crate::carrier::*;
pub use crate::demand_meter::*;
pub use crate::dialect::*;
pub(crate) use crate::framing::*;
pub use crate::gate::*;
pub use crate::instance_connections::*;
pub(crate) use crate::outgoing::*;
pub use crate::passing::*;
pub(crate) use crate::request_body::*;
pub use crate::usage::*;
