//! The front against an MCP client that no one here wrote.

mod common;

use std::sync::{Arc, Mutex};

use common::World;
use rmcp::model::{CallToolRequestParams, ProgressNotificationParam};
use rmcp::service::{NotificationContext, RoleClient};
use rmcp::transport::StreamableHttpClientTransport;
use rmcp::{ClientHandler, ServiceExt};

#[derive(Clone, Default)]
struct Client(Arc<Mutex<String>>);

impl ClientHandler for Client {
    async fn on_progress(&self, params: ProgressNotificationParam, _: NotificationContext<RoleClient>) {
        self.0.lock().unwrap().push_str(params.message.as_deref().unwrap_or_default());
    }
}

#[test]
fn a_foreign_client_lists_and_calls_the_tools() {
    let world = World::plain();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let client = Client::default();
        let text = client.0.clone();
        let transport = StreamableHttpClientTransport::from_uri(format!("http://{}/mcp", world.addr));
        let service = client.serve(transport).await.unwrap();
        let tools = service.list_all_tools().await.unwrap();
        let names: Vec<&str> = tools.iter().map(|tool| &*tool.name).collect();
        assert_eq!(names, ["ask", "order"]);
        let mut params = CallToolRequestParams::new("order");
        params.arguments =
            serde_json::json!({"prompt": "One bowl. [words 9][call place_order]"}).as_object().cloned();
        let result = service.call_tool(params).await.unwrap();
        let whole = serde_json::to_value(&result).unwrap()["content"][0]["text"].as_str().unwrap().to_owned();
        assert!(whole.contains("order 1 placed"), "{whole}");
        assert_eq!(result.is_error, Some(false));
        // Progress is handed over by tasks of the client's own; they have run when the client has closed.
        service.cancel().await.unwrap();
        let text = text.lock().unwrap().clone();
        assert!(whole.starts_with(&text) && !text.is_empty(), "{text:?} of {whole:?}");
    });
    world.finish();
}
