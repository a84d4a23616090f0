//! Client of the admin listener.

use std::{fs, net::SocketAddr, time::Duration};

use awc::{
    Client, ClientRequest, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
    http::StatusCode,
};
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::{flags::Access, settings::TOKEN_VARIABLE};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for an answer. A confirmation waits at the node until it is decided.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest answer in bytes. The status of 860 nodes takes less than 1 MiB.
const MAX_ANSWER: usize = 16 << 20;

/// Reason why a call to the admin listener failed.
#[derive(Debug, Snafu)]
pub(crate) enum AdminError {
    #[snafu(display("--admin {text}: not an address; give IP number and port"))]
    BadAddress { text: String },

    #[snafu(display("can't read token file {file}: {source}; check name and permissions"))]
    ReadToken {
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

    #[snafu(display("no complete answer from {address}: {message}; try again"))]
    Lost {
        address: SocketAddr,
        message: String,
    },

    #[snafu(display("{address} refused the token; give --token-file or set {TOKEN_VARIABLE}"))]
    Token { address: SocketAddr },

    #[snafu(display("{address} answered {status}: {message}"))]
    Status {
        address: SocketAddr,
        status: StatusCode,
        message: String,
        /// JSON body of the answer, or null.
        body: Value,
    },
}

impl AdminError {
    /// Returns whether the call may have had an effect.
    pub(crate) fn is_unknown(&self) -> bool {
        match self {
            AdminError::Lost { .. } => true,
            AdminError::Status { status, .. } => status.is_server_error(),
            _ => false,
        }
    }
}

/// Connection to the admin listener of a node.
pub(crate) struct Admin {
    client: Client,
    address: SocketAddr,
    token: Option<String>,
}

impl Admin {
    /// Prepares calls; nothing is sent yet.
    ///
    /// # Errors
    ///
    /// Fails if the address or the token file is not accepted.
    pub(crate) fn new(access: Access<'_>) -> Result<Self, AdminError> {
        let text = access.admin;
        let address = text.parse().ok().context(BadAddressSnafu { text })?;
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector(connector)
            .timeout(ANSWER_TIMEOUT)
            .finish();
        Ok(Admin {
            client,
            address,
            token: read_token(access.token_file)?,
        })
    }

    /// Returns the address of the listener.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    ///
    /// Fails if no answer or an error answer came.
    pub(crate) async fn get(
        &self,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<Value, AdminError> {
        let req = self.prepare(self.client.get(self.url(path)));
        let req = match query {
            [] => req,
            query => req.query(&query).expect("names and texts make a query"),
        };
        let sent = req.send().await;
        self.answer(sent).await
    }

    /// Posts a JSON value and returns that of the answer.
    ///
    /// # Errors
    ///
    /// Fails if no answer or an error answer came.
    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<Value, AdminError> {
        let req = self.prepare(self.client.post(self.url(path)));
        let sent = req.send_json(body).await;
        self.answer(sent).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn prepare(&self, req: ClientRequest) -> ClientRequest {
        match &self.token {
            Some(token) => req.bearer_auth(token),
            None => req,
        }
    }

    async fn answer(
        &self,
        sent: Result<ClientResponse, SendRequestError>,
    ) -> Result<Value, AdminError> {
        let address = self.address;
        let mut answer = sent.map_err(|error| self.send_error(&error))?;
        let status = answer.status();
        ensure!(status != StatusCode::UNAUTHORIZED, TokenSnafu { address });
        let body = answer.body().limit(MAX_ANSWER).await;
        let lost = |message: String| LostSnafu { address, message }.build();
        let body = body.map_err(|error| lost(error.to_string()))?;
        if !status.is_success() {
            return Err(self.status_error(status, &body));
        }
        // A cut body is no valid JSON.
        serde_json::from_slice(&body).map_err(|error| lost(error.to_string()))
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
            // The client also reports a connection that ends before the answer in this way.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                let message = "the connection ended".to_owned();
                LostSnafu { address, message }.build()
            }
            SendRequestError::Connect(error) => {
                let message = error.to_string();
                ConnectSnafu { address, message }.build()
            }
            error => {
                let message = error.to_string();
                LostSnafu { address, message }.build()
            }
        }
    }
}

fn read_token(file: Option<&str>) -> Result<Option<String>, AdminError> {
    let Some(file) = file else {
        return Ok(std::env::var(TOKEN_VARIABLE)
            .ok()
            .filter(|token| !token.is_empty()));
    };
    let token = fs::read_to_string(file).context(ReadTokenSnafu { file })?;
    Ok(Some(token.trim_ascii_end().to_owned()))
}
