//! Sends one HTTP request, so that scripts need no other HTTP client.

use std::{process::ExitCode, time::Duration};

use actix_http::Method;

use crate::{CommandResult, args::Call};

/// Maximum length of an answer body.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Sends the request and prints the body of the answer. Returns failure unless the status is 2xx.
pub(crate) fn run(args: &Call) -> CommandResult {
    actix_rt::System::new().block_on(send_request(args))
}

async fn send_request(args: &Call) -> CommandResult {
    let method = Method::from_bytes(args.method.as_bytes())?;
    let client = awc::Client::builder()
        .timeout(Duration::from_millis(args.timeout_ms))
        .disable_redirects()
        .finish();
    let mut req = client.request(method, &args.url);
    if let Some(token) = &args.token {
        req = req.bearer_auth(token);
    }
    for header in &args.header {
        let (name, value) = header
            .split_once(':')
            .ok_or_else(|| format!("expected a header as NAME:VALUE, not {header}"))?;
        req = req.insert_header((name.trim(), value.trim()));
    }
    let sent = match &args.body {
        Some(body) => {
            req.content_type("application/json")
                .send_body(body.clone())
                .await
        }
        None => req.send().await,
    };
    // Only the text is passed on, because the error of awc is not `Send`.
    let mut res = sent.map_err(|err| err.to_string())?;
    let body = res.body().limit(MAX_BODY_BYTES).await?;
    println!("{}", String::from_utf8_lossy(&body));
    if args.verbose {
        eprintln!("{} {:?}", res.status(), res.headers());
    }
    if res.status().is_success() {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("status {}", res.status());
    Ok(ExitCode::FAILURE)
}
