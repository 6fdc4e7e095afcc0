//! Requests a streamed chat completion with an ordinary OpenAI client.
//!
//! ```text
//! chat http://127.0.0.1:17001/v1 KEY MODEL PROMPT
//! ```
//!
//! Prints the id of the request, then the text of the answer. Fails if the answer is incomplete.

use std::env;

use async_openai::{
    Client,
    config::OpenAIConfig,
    types::chat::{ChatCompletionRequestUserMessage, CreateChatCompletionRequestArgs},
};
use eyre::{ContextCompat, ensure};
use futures_util::StreamExt;

/// Largest number of tokens of the answer.
const MAX_TOKENS: u32 = 24;

fn main() -> eyre::Result<()> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [base, key, model, prompt] = &arguments[..] else {
        eyre::bail!("usage: chat BASE-URL KEY MODEL PROMPT");
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(complete(base, key, model, prompt))
}

async fn complete(base: &str, key: &str, model: &str, prompt: &str) -> eyre::Result<()> {
    let config = OpenAIConfig::new().with_api_base(base).with_api_key(key);
    let client = Client::with_config(config);
    let request = CreateChatCompletionRequestArgs::default()
        .model(model)
        .max_completion_tokens(MAX_TOKENS)
        .messages([ChatCompletionRequestUserMessage::from(prompt).into()])
        .build()?;

    let mut stream = client.chat().create_stream(request).await?;
    let (mut id, mut text, mut is_complete) = (None, String::new(), false);
    while let Some(chunk) = stream.next().await {
        let chunk = chunk?;
        id = Some(chunk.id);
        for choice in chunk.choices {
            text.push_str(choice.delta.content.as_deref().unwrap_or_default());
            is_complete |= choice.finish_reason.is_some();
        }
    }

    ensure!(is_complete, "the stream ended without a finish reason after {} bytes", text.len());
    println!("{}", id.context("the answer has no request id")?);
    println!("{text}");
    Ok(())
}
