//! The settings of one process.

mod common;
mod controller;
mod front;
mod gateway;
mod keys;
mod load;

pub use common::{
    LogFormat, LogSettings, PlatformSettings, RpcSettings, TlsSettings, TraceSettings, VmSettings,
};
pub use controller::{AdminSettings, ControllerSettings, OperatorKey, OrderSettings, Role};
pub use front::{
    BoundSettings, FrontSettings, ListenSettings, RetrySettings, ServingSettings, StoreSettings,
};
pub use gateway::{AdmissionSettings, CallerSettings, GatewaySettings, UpstreamSettings};
pub use keys::{KeySpec, Program, keys_of, reference};
pub use load::{Sections, Settings, load, load_text};
