//! HTTP client for the admin listener of a node.

use std::{fs, net::SocketAddr, time::Duration};

use awc::{
    Client, ClientRequest, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
    http::StatusCode,
};
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::{flags::AdminAccess, settings::TOKEN_ENV_VAR};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time to wait for a response. The node responds to a confirmation only once it is decided.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum size of a response body. The status of 860 nodes takes less than 1 MiB.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Error of a call to the admin listener.
#[derive(Debug, Snafu)]
pub(crate) enum AdminError {
    #[snafu(display("--admin {text}: not an address; give an IP address and port"))]
    BadAddress { text: String },

    #[snafu(display("can't read token file {file}: {source}; check name and permissions"))]
    ReadTokenFile {
        file: String,
        source: std::io::Error,
    },

    #[snafu(display(
        "can't connect to {address}: {message}; check --admin and that the node runs"
    ))]
    Connect {
        address: SocketAddr,
        message: String,
    },

    #[snafu(display("no complete response from {address}: {message}; try again"))]
    IncompleteResponse {
        address: SocketAddr,
        message: String,
    },

    #[snafu(display("{address} refused the token; give --token-file or set {TOKEN_ENV_VAR}"))]
    TokenRefused { address: SocketAddr },

    #[snafu(display("{address} answered {status}: {message}"))]
    Status {
        address: SocketAddr,
        status: StatusCode,
        message: String,
        /// JSON body of the response, or null if the body is not JSON.
        body: Value,
    },
}

impl AdminError {
    /// Returns whether the node may have carried out the call nevertheless.
    pub(crate) fn has_unknown_outcome(&self) -> bool {
        match self {
            AdminError::IncompleteResponse { .. } => true,
            AdminError::Status { status, .. } => status.is_server_error(),
            _ => false,
        }
    }
}

/// Client for the admin listener of one node.
pub(crate) struct AdminClient {
    client: Client,
    address: SocketAddr,
    token: Option<String>,
}

impl AdminClient {
    /// Creates a client without connecting to the listener.
    ///
    /// # Errors
    ///
    /// Fails if the address is invalid or the token file can't be read.
    pub(crate) fn new(access: AdminAccess<'_>) -> Result<Self, AdminError> {
        let text = access.admin;
        let address = text.parse().ok().context(BadAddressSnafu { text })?;
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector(connector)
            .timeout(RESPONSE_TIMEOUT)
            .finish();
        Ok(AdminClient {
            client,
            address,
            token: read_token(access.token_file)?,
        })
    }

    /// Returns the address of the listener.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a GET request and returns the JSON value of the response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives or its status is not a success.
    pub(crate) async fn get(
        &self,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<Value, AdminError> {
        let req = self.with_token(self.client.get(self.url(path)));
        let req = match query {
            [] => req,
            query => req
                .query(&query)
                .expect("pairs of strings serialize as a query"),
        };
        let result = req.send().await;
        self.read_response(result).await
    }

    /// Sends a POST request with a JSON body and returns the JSON value of the response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives or its status is not a success.
    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<Value, AdminError> {
        let req = self.with_token(self.client.post(self.url(path)));
        let result = req.send_json(body).await;
        self.read_response(result).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn with_token(&self, req: ClientRequest) -> ClientRequest {
        match &self.token {
            Some(token) => req.bearer_auth(token),
            None => req,
        }
    }

    async fn read_response(
        &self,
        result: Result<ClientResponse, SendRequestError>,
    ) -> Result<Value, AdminError> {
        let address = self.address;
        let mut response = result.map_err(|error| self.send_error(&error))?;
        let status = response.status();
        ensure!(
            status != StatusCode::UNAUTHORIZED,
            TokenRefusedSnafu { address }
        );
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let incomplete = |message: String| IncompleteResponseSnafu { address, message }.build();
        let body = body.map_err(|error| incomplete(error.to_string()))?;
        if !status.is_success() {
            return Err(self.status_error(status, &body));
        }
        // A truncated body is not valid JSON.
        serde_json::from_slice(&body).map_err(|error| incomplete(error.to_string()))
    }

    fn status_error(&self, status: StatusCode, body: &[u8]) -> AdminError {
        let address = self.address;
        let text = String::from_utf8_lossy(body);
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let message = match body.get("error").and_then(Value::as_str) {
            Some(message) => message.to_owned(),
            None => text.split_whitespace().collect::<Vec<_>>().join(" "),
        };
        StatusSnafu {
            address,
            status,
            message,
            body,
        }
        .build()
    }

    fn send_error(&self, error: &SendRequestError) -> AdminError {
        let address = self.address;
        match error {
            // awc also reports a connection that closes before the response in this way.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                let message = "connection closed before the response".to_owned();
                IncompleteResponseSnafu { address, message }.build()
            }
            SendRequestError::Connect(error) => {
                let message = error.to_string();
                ConnectSnafu { address, message }.build()
            }
            error => {
                let message = error.to_string();
                IncompleteResponseSnafu { address, message }.build()
            }
        }
    }
}

fn read_token(file: Option<&str>) -> Result<Option<String>, AdminError> {
    let Some(file) = file else {
        return Ok(std::env::var(TOKEN_ENV_VAR)
            .ok()
            .filter(|token| !token.is_empty()));
    };
    let token = fs::read_to_string(file).context(ReadTokenFileSnafu { file })?;
    Ok(Some(token.trim_ascii_end().to_owned()))
}
