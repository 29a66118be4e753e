//! Interoperability of the front with a third-party MCP client (`rmcp`).

mod common;

use std::sync::{Arc, Mutex};

use common::TestCluster;
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
fn a_third_party_client_lists_and_calls_the_tools() {
    let cluster = TestCluster::start_default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let client = Client::default();
        let progress_text = client.0.clone();
        let transport = StreamableHttpClientTransport::from_uri(format!("http://{}/mcp", cluster.addr));
        let service = client.serve(transport).await.unwrap();
        let tools = service.list_all_tools().await.unwrap();
        let names: Vec<&str> = tools.iter().map(|tool| &*tool.name).collect();
        assert_eq!(names, ["ask", "order"]);
        let mut params = CallToolRequestParams::new("order");
        params.arguments =
            serde_json::json!({"prompt": "One bowl. [words 9][call place_order]"}).as_object().cloned();
        let result = service.call_tool(params).await.unwrap();
        let answer =
            serde_json::to_value(&result).unwrap()["content"][0]["text"].as_str().unwrap().to_owned();
        assert!(answer.contains("order 1 placed"), "{answer}");
        assert_eq!(result.is_error, Some(false));
        // The client handles progress notifications in its own tasks, which have run once the client is closed.
        service.cancel().await.unwrap();
        let progress_text = progress_text.lock().unwrap().clone();
        assert!(
            answer.starts_with(&progress_text) && !progress_text.is_empty(),
            "{progress_text:?} of {answer:?}"
        );
    });
    cluster.finish_and_check();
}
