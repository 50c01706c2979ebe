/**
 * Sends chunks to other agents, also while this agent is still downloading.
 * When the queue is full a request is refused immediately, so that the
 * downloader asks another holder.
 */

import type { Peer, Stream } from "../wire/mod.ts";
import { MANIFEST_INDEX } from "./fetch_from_peer.ts";
import type { WeightCounters } from "./weight_counters.ts";

/**
 * Few parallel uploads, so that each chunk is sent at nearly the rate of the
 * link and its receiver can soon serve it to others.
 */
const MAX_UPLOADS = 2;
const MAX_QUEUED = 2;
/** Well below the time after which a downloader treats the wait as a stall. */
const MAX_QUEUE_MS = 1_000;
/** Small, so that live traffic on a slow link is interleaved with chunks. */
const PIECE_BYTES = 8 * 1024;
/** An upload is reset if the downloader reads nothing for this long. */
const WRITE_TIMEOUT_MS = 4_000;

export interface ChunkServer {
  onStream(peer: Peer, stream: Stream): void;
  close(): void;
}

export interface ChunkServerOptions {
  /** Returns a verified chunk, or the manifest for index -1. */
  readonly findBytes: (
    manifestDigest: string,
    index: number,
  ) => Uint8Array | undefined;
  /** True if another holder that this peer can reach has sent much less. */
  readonly hasLessUsedHolder: (
    peer: Peer,
    manifestDigest: string,
    index: number,
  ) => boolean;
  readonly waitForBandwidth: () => Promise<void>;
  readonly onSent: (peer: Peer, manifestDigest: string, bytes: number) => void;
  /** Rate of the host's uplink, from which the retry delay is computed. */
  readonly readBytesPerS: () => number;
  readonly counters: WeightCounters;
}

export function createChunkServer(options: ChunkServerOptions): ChunkServer {
  const { findBytes, hasLessUsedHolder, waitForBandwidth, onSent } = options;
  const queue: (() => void)[] = [];
  let uploads = 0;
  let isClosed = false;

  function refuse(stream: Stream, code: string, retryAfterMs: number) {
    options.counters.refusedUploads.increment({ reason: code });
    stream.end({ outcome: "not_run", code, retryAfterMs });
  }

  async function serve(peer: Peer, stream: Stream) {
    const { head } = stream;
    if (head.kind !== "chunk") return stream.reset("wrong_kind");
    const { manifestDigest, index } = head;
    const bytes = findBytes(manifestDigest, index);
    if (bytes === undefined) return refuse(stream, "missing", 1_000);
    if (index !== MANIFEST_INDEX) {
      if (hasLessUsedHolder(peer, manifestDigest, index)) {
        return refuse(stream, "sent_enough", 200);
      }
      const chunkMs = (bytes.length / options.readBytesPerS()) * 1000;
      const isQueueTooLong = (queue.length + 1) * chunkMs > MAX_QUEUE_MS;
      const isFull = queue.length >= MAX_QUEUED || isQueueTooLong;
      if (uploads >= MAX_UPLOADS && isFull) {
        return refuse(stream, "busy", Math.max(20, chunkMs));
      }
    }
    // A finished upload passes its slot to the first queued one.
    if (uploads < MAX_UPLOADS) uploads += 1;
    else await new Promise<void>((resolve) => queue.push(resolve));
    try {
      if (await sendAll(stream, bytes)) {
        onSent(peer, manifestDigest, bytes.length);
        stream.end({ outcome: "answered" });
      }
    } finally {
      const next = queue.shift();
      if (next === undefined) uploads -= 1;
      else next();
    }
  }

  async function sendAll(stream: Stream, bytes: Uint8Array) {
    let isLost = false;
    stream.onLost(() => (isLost = true));
    for (let at = 0; at < bytes.length; at += PIECE_BYTES) {
      await waitForBandwidth();
      if (isLost || isClosed) return false;
      const piece = bytes.subarray(at, at + PIECE_BYTES);
      if (!(await writeWithTimeout(stream, piece))) return false;
    }
    return !isLost;
  }

  return {
    onStream: (peer, stream) => void serve(peer, stream),
    close() {
      isClosed = true;
      queue.splice(0).forEach((resume) => resume());
    },
  };
}

async function writeWithTimeout(stream: Stream, bytes: Uint8Array) {
  const timer = setTimeout(
    () => stream.reset("reader_stalled"),
    WRITE_TIMEOUT_MS,
  );
  const written = await stream.write(bytes);
  clearTimeout(timer);
  return written.isOk();
}
