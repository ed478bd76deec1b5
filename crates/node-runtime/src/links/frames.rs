//! Frames as they stand on the wire: a length, a number, then the body; and the bytes that wait for
//! their turn to be written.
use crate::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// The largest frame, its number included, that either side takes.
pub const MOST_FRAME: usize = 48 << 20;

const LENGTH_BYTES: usize = 4;
const NUMBER_BYTES: usize = 8;
/// Room that an emptied buffer keeps.
const KEPT_ROOM: usize = 64 << 10;

/// The largest body of a numbered frame.
pub const MOST_BODY: usize = MOST_FRAME - NUMBER_BYTES;

/// A numbered frame that has come.
pub struct Frame {
    /// 0 where no answer is asked for.
    pub number: u64,
    /// What follows the number.
    pub body: Bytes,
}

/// Reads numbered frames from one half of a connection.
pub struct FrameReader<R> {
    frames: FramedRead<R, LengthDelimitedCodec>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `half`; a frame over `MOST_FRAME` is an error before its bytes are taken in.
    pub fn new(half: R) -> Self {
        FrameReader { frames: FramedRead::new(half, length_codec()) }
    }

    /// The next frame. The end of the connection is an error too: a link has no last frame. May be
    /// dropped and called again without loss.
    pub async fn next_frame(&mut self) -> LinkResult<Frame> {
        let Some(Ok(bytes)) = self.frames.next().await else {
            return Err(LinkError::Broken);
        };
        let Some((number, _)) = bytes.split_first_chunk::<NUMBER_BYTES>() else {
            return Err(LinkError::Broken);
        };
        let number = u64::from_be_bytes(*number);
        Ok(Frame { number, body: bytes.freeze().slice(NUMBER_BYTES..) })
    }
}

/// The codec of all links: a length of four bytes, then the frame.
pub fn length_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MOST_FRAME).new_codec()
}

/// Bytes of whole frames that wait for the connection to take them.
#[derive(Default)]
pub struct Outgoing {
    waiting: BytesMut,
}

impl Outgoing {
    /// Adds a frame behind those that wait; one over `MOST_BODY` is refused.
    pub fn push(&mut self, number: u64, body: &[u8]) -> LinkResult<()> {
        if body.len() > MOST_BODY {
            return Err(LinkError::TooLarge);
        }
        let length = (NUMBER_BYTES + body.len()) as u32;
        self.waiting.reserve(LENGTH_BYTES + NUMBER_BYTES + body.len());
        self.waiting.extend_from_slice(&length.to_be_bytes());
        self.waiting.extend_from_slice(&number.to_be_bytes());
        self.waiting.extend_from_slice(body);
        Ok(())
    }

    /// How many bytes wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether everything has been handed to the connection.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Writes as much as the connection takes at once. May be dropped and called again without loss.
    pub async fn write_some<W: AsyncWrite + Unpin>(&mut self, half: &mut W) -> LinkResult<()> {
        let written = half.write_buf(&mut self.waiting).await;
        if !matches!(written, Ok(n) if n > 0) {
            return Err(LinkError::Broken);
        }
        if self.waiting.is_empty() && self.waiting.capacity() > KEPT_ROOM {
            self.waiting = BytesMut::new();
        }
        Ok(())
    }
}
