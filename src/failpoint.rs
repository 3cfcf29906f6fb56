//! Failpoints that tests set at run time; without the feature `failpoints` no fault can be injected.

use std::net::SocketAddr;

use jsonrpsee::RpcModule;
use strum::IntoStaticStr;

use crate::error::Result;

/// Name of the RPC method that sets a failpoint; params `{"name", "actions"}`.
pub const SET_METHOD: &str = "failpoint.set";

/// A direction of a network path, seen from this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum Direction {
    /// From this process to the other.
    Out,
    /// From the other process to this one.
    In,
}

/// Name of the failpoint that drops all messages in one direction between this process and an address.
pub fn cut_name(direction: Direction, address: SocketAddr) -> String {
    let direction: &str = direction.into();
    format!("rpc.{direction}.{address}")
}

/// Whether messages in this direction are dropped.
#[cfg(feature = "failpoints")]
pub fn is_cut(direction: Direction, address: SocketAddr) -> bool {
    fail::fail_point!(&cut_name(direction, address), |_| true);
    false
}

/// Whether messages in this direction are dropped.
#[cfg(not(feature = "failpoints"))]
pub fn is_cut(_direction: Direction, _address: SocketAddr) -> bool {
    false
}

/// Adds the method [`SET_METHOD`] to the methods of a process.
///
/// # Errors
/// `Kernel` if the method is registered already.
#[cfg(feature = "failpoints")]
pub fn register(module: &mut RpcModule<()>) -> Result<()> {
    use jsonrpsee::types::ErrorObjectOwned;

    use crate::code::Code;
    use crate::error::Error;

    #[derive(serde::Deserialize)]
    struct SetRequest {
        name: String,
        actions: String,
    }

    module
        .register_method(
            SET_METHOD,
            |params, _, _| -> std::result::Result<(), ErrorObjectOwned> {
                let request: SetRequest = params.parse()?;
                fail::cfg(request.name, &request.actions).map_err(|e| Error::new(Code::BadParams, e).into())
            },
        )
        .map_err(|e| Error::new(Code::Kernel, e.to_string()))?;
    Ok(())
}

/// Adds no method: the feature `failpoints` is off.
///
/// # Errors
/// None.
#[cfg(not(feature = "failpoints"))]
pub fn register(_module: &mut RpcModule<()>) -> Result<()> {
    Ok(())
}
