use tokio::io::{AsyncReadExt, AsyncWriteExt};
fn main() {
    let role = std::env::args().nth(1).unwrap();
    node_base::logs::start_logs("info").unwrap();
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let env = node_base::env::read_env(&std::env::var("SPOKEBANK_NODE_FILE").unwrap()).unwrap();
    rt.block_on(async move {
        let r = match role.as_str() {
            "control-cell" => control_cell::run_cell(env).await,
            "turn-store" => turn_store::run_store(env).await,
            "feed-agent" => feed_agent::run_agent(env).await,
            _ => {
                let l = tokio::net::TcpListener::bind(env.listen.front.unwrap()).await.unwrap();
                let r = tokio::net::TcpListener::bind(env.listen.readiness.unwrap()).await.unwrap();
                tokio::spawn(async move { loop { let (mut s, _) = r.accept().await.unwrap(); let mut b=[0;1000]; let _=s.read(&mut b).await; let _=s.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n").await; } });
                loop { let (mut s, _) = l.accept().await.unwrap();
                    let mut b=[0;2500]; let n=s.read(&mut b).await.unwrap_or(0);
                    eprintln!("{}", String::from_utf8_lossy(&b[..n]));
                    let _=s.write_all(b"HTTP/1.1 503 X\r\ncontent-length: 0\r\nconnection: close\r\n\r\n").await; }
            }
        };
        if let Err(e) = r { spdlog::error!("{}", e); }
    });
}
