//! The settings file as the platform writes it; unknown fields are ignored.
use crate::prelude::*;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RawSettings {
    pub node_name: Option<String>,
    pub machine_class: Option<String>,
    pub ip_address: Option<String>,
    pub zone: Option<String>,
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    pub internal_port_range: Option<Vec<i64>>,
    #[serde(default)]
    pub seed_addresses: Vec<String>,
    #[serde(default)]
    pub first_start: bool,
    pub loss_counted: Option<bool>,
    pub data_directory: Option<String>,
    #[serde(default)]
    pub listen_addresses: BTreeMap<String, String>,
    #[serde(default)]
    pub limits: BTreeMap<String, toml::Value>,
    #[serde(default)]
    pub tolerated_losses: BTreeMap<String, toml::Value>,
    #[serde(default)]
    pub bounds: BTreeMap<String, toml::Value>,
    pub cloud_api: Option<RawCloud>,
    #[serde(default)]
    pub dispatcher: BTreeMap<String, toml::Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RawCloud {
    pub address: Option<String>,
    pub rate_per_s: Option<f64>,
    pub lag_ms: Option<f64>,
}
