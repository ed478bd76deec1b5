//! Links over loopback: frames in both directions at once, peers that stop reading, broken frames.
use arbtest::arbitrary::Unstructured;
use bytes::Bytes;
use node_runtime::links::{serve_calls, serve_connection, MOST_FRAME};
use node_runtime::prelude::{Caller, LinkError, LinkResult};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

const LARGE: usize = 12 << 20;
const SMALL_BUFFER: u32 = 128 << 10;
const WITHIN: Duration = Duration::from_secs(20);
const LENGTH_BYTES: usize = 4;

/// A listener whose connections hold little on either side.
fn listen_with_small_buffers() -> (TcpListener, String) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    socket.set_send_buffer_size(SMALL_BUFFER).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    (listener, addr)
}

async fn echo(q: Bytes) -> Option<Bytes> {
    Some(q)
}

/// A large call is on its way while the large answer to the one before it comes back.
#[tokio::test]
async fn large_frames_in_opposite_directions_pass_each_other() {
    let (listener, addr) = listen_with_small_buffers();
    tokio::spawn(serve_calls(listener, echo));
    let caller = Caller::new(addr);
    let body = Bytes::from(vec![7u8; LARGE]);
    let (first, second) = tokio::join!(
        caller.call::<_, Bytes>(&body, WITHIN),
        caller.call::<_, Bytes>(&body, WITHIN),
    );
    assert_eq!(first.map(|b| b.len()), Ok(LARGE));
    assert_eq!(second.map(|b| b.len()), Ok(LARGE));
}

/// How long the first frame of a connection is, without taking it.
async fn first_frame_len(stream: &TcpStream) -> usize {
    let mut length = [0; LENGTH_BYTES];
    while stream.peek(&mut length).await.unwrap() < LENGTH_BYTES {}
    u32::from_be_bytes(length) as usize
}

/// The peer takes no bulk at all; small calls are answered all the same.
#[tokio::test]
async fn small_calls_are_answered_while_a_bulk_transfer_is_stuck() {
    let (listener, addr) = listen_with_small_buffers();
    let (stuck, mut stuck_seen) = mpsc::channel(1);
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            if first_frame_len(&stream).await >= LARGE {
                held.push(stream);
                let _ = stuck.send(()).await;
                continue;
            }
            tokio::spawn(serve_connection(stream, echo));
        }
    });
    let caller = Caller::new(addr);
    assert_eq!(caller.tell_bulk(&Bytes::from(vec![1u8; LARGE])), Ok(()));
    stuck_seen.recv().await.unwrap();
    for i in 0..50u8 {
        let beat = Bytes::from(vec![i; 100]);
        let answer = caller.call::<_, Bytes>(&beat, WITHIN).await;
        assert_eq!(answer, Ok(beat));
    }
    // What waits behind the stuck transfer is bounded, and said to be refused.
    let chunk = Bytes::from(vec![2u8; 4 << 20]);
    let refused = (0..12).map(|_| caller.tell_bulk(&chunk)).filter(|r| r.is_err()).count();
    assert!(refused >= 4, "{refused}");
    let too_large = Bytes::from(vec![0u8; MOST_FRAME]);
    assert_eq!(caller.tell_bulk(&too_large), Err(LinkError::TooLarge));
}

/// While the connection takes nothing, calls whose callers give up are dropped from the queue; the
/// peer, reading again, never sees them.
#[tokio::test]
async fn a_call_whose_caller_has_gone_away_is_not_sent() {
    let (listener, addr) = listen_with_small_buffers();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let caller = Caller::new(addr);
    caller.tell(&Bytes::from(vec![0u8; LARGE]));
    let (stream, _) = listener.accept().await.unwrap();
    first_frame_len(&stream).await;
    let given_up =
        caller.call::<_, Bytes>(&Bytes::from_static(b"given up"), Duration::from_millis(50)).await;
    assert_eq!(given_up, Err(LinkError::Silent));
    let log = seen.clone();
    tokio::spawn(serve_connection(stream, move |q: Bytes| {
        log.lock().unwrap().push(q.len());
        async move { Some(q) }
    }));
    let later = Bytes::from_static(b"later");
    assert_eq!(caller.call::<_, Bytes>(&later, WITHIN).await, Ok(later.clone()));
    assert_eq!(*seen.lock().unwrap(), [LARGE, later.len()]);
}

/// What a broken or hostile peer sends: frames cut short, too long, or of no meaning.
fn arbitrary_stream(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Vec<u8>> {
    let mut out = Vec::new();
    for _ in 0..u.int_in_range(1..=4)? {
        let body: Vec<u8> =
            (0..u.int_in_range(0..=40)?).map(|_| u.arbitrary()).collect::<Result<_, _>>()?;
        let said = match u.int_in_range(0..=3)? {
            0 => u.arbitrary()?,
            1 => (MOST_FRAME + 1) as u32,
            _ => body.len() as u32,
        };
        out.extend_from_slice(&said.to_be_bytes());
        out.extend_from_slice(&body);
    }
    Ok(out)
}

fn block_on<T>(work: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(work)
}

/// Serves one connection to which `sent` comes, and then its end; gives how the serving ended.
async fn serve_bytes(sent: &[u8]) -> LinkResult<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let talk = async {
        let _ = peer.write_all(sent).await;
        let _ = peer.shutdown().await;
        let _ = peer.read_to_end(&mut Vec::new()).await;
    };
    let served = serve_connection(stream, |q: Vec<u64>| async move { Some(q) });
    tokio::join!(async { tokio::time::timeout(WITHIN, served).await.expect("goes on") }, talk).0
}

/// Whatever comes, the answering side ends this connection with an error value.
#[test]
fn any_bytes_end_a_served_connection_with_an_error() {
    arbtest::arbtest(|u| {
        let sent = arbitrary_stream(u)?;
        assert_eq!(block_on(serve_bytes(&sent)), Err(LinkError::Broken));
        Ok(())
    });
    let oversize = ((MOST_FRAME + 1) as u32).to_be_bytes();
    assert_eq!(block_on(serve_bytes(&oversize)), Err(LinkError::Broken));
}

/// Whatever a peer answers, a call ends with a value, and the next one opens a connection anew.
#[test]
fn any_bytes_end_a_call_with_an_error_and_the_next_goes_through() {
    arbtest::arbtest(|u| {
        let sent = arbitrary_stream(u)?;
        block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let caller = Caller::new(listener.local_addr().unwrap().to_string());
            let broken = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                first_frame_len(&stream).await;
                let _ = stream.write_all(&sent).await;
            };
            let question = vec![3u64];
            let (answer, ()) = tokio::join!(caller.call::<_, Vec<u64>>(&question, WITHIN), broken);
            assert!(matches!(answer, Err(LinkError::Broken)), "{answer:?}");
            tokio::spawn(serve_calls(listener, |q: Vec<u64>| async move { Some(q) }));
            let mut again = caller.call::<_, Vec<u64>>(&question, WITHIN).await;
            if again == Err(LinkError::Broken) {
                // The end of the first connection was noticed by this call.
                again = caller.call(&question, WITHIN).await;
            }
            assert_eq!(again, Ok(question));
        });
        Ok(())
    });
}

/// A call that the peer can't read fails at once; the connection and the others on it go on.
#[tokio::test]
async fn a_call_of_another_version_fails_alone() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = Caller::new(listener.local_addr().unwrap().to_string());
    let (connections, mut opened) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = connections.send(());
            tokio::spawn(serve_connection(stream, |q: Vec<u64>| async move { Some(q) }));
        }
    });
    let known = vec![1u64];
    let unknown = "of another version".to_string();
    for _ in 0..3 {
        assert_eq!(caller.call::<_, Vec<u64>>(&unknown, WITHIN).await, Err(LinkError::Broken));
        assert_eq!(caller.call::<_, Vec<u64>>(&known, WITHIN).await, Ok(known.clone()));
    }
    assert_eq!(opened.recv().await, Some(()));
    assert!(opened.try_recv().is_err());
}
