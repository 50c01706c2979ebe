/**
 * One long-lived connection to another process of the system. A task reads
 * frames and hands each to its stream; data of one event-loop turn leaves in
 * few segments.
 */

import type { Socket } from "node:net";
import { createClockOffset } from "./clock_offset.ts";
import { createFrameDecoder, encodeFrame, MAX_FRAME_BYTES } from "./frame.ts";
import { encodeNotice } from "./encode_notice.ts";
import type { Frame } from "./frame.ts";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { parseHello, parseNotice, parseOpenHead } from "./messages.ts";
import type { Hello, Notice, OpenHead } from "./messages.ts";
import { createStream } from "./stream.ts";
import type { Stream, StreamLost, StreamPort } from "./stream.ts";
import type { WireCounters } from "./wire_counters.ts";

const PING_INTERVAL_MS = 2_000;
const SILENCE_LIMIT_MS = 6_000;
const HELLO_TIMEOUT_MS = 2_000;
const MAX_STREAMS = 4_096;
/**
 * A turn of the event loop can read dozens of tokens. Sending the first ones
 * meanwhile lets the other process work on them in parallel; the smaller
 * segments cost an entry about a tenth more processor time.
 */
const MAX_UNSENT_MS = 0.25;
/** Copying small frames into one buffer costs less than a write for each. */
const MAX_JOINED_BYTES = 64 * 1024;

export interface PeerHandlers {
  /** Called for each stream that the other side opens. */
  readonly onStream: (peer: Peer, stream: Stream) => void;
  readonly onNotice: (peer: Peer, notice: Notice) => void;
}

export interface Peer {
  readonly hello: Hello;
  readonly remoteAddress: string;
  /** Fails only if the connection is closed, and then nothing was sent. */
  openStream(head: OpenHead): Result<Stream, StreamLost>;
  sendNotice(notice: Notice): void;
  /** How far the other side's clock is ahead; undefined before a sample. */
  clockAheadMs?(): number | undefined;
  /** Of the last ping; longer than the way takes while a link is congested. */
  roundTripMs?(): number | undefined;
  /** Number of streams that are not closed in both directions. */
  openStreams?(): number;
  isClosed(): boolean;
  /** Resolves with the reason when the connection has closed. */
  readonly closed: Promise<string>;
  /** Closes at once; open streams are lost on both sides. */
  close(reason: string): void;
}

export interface PeerOptions {
  readonly isDialler: boolean;
  readonly hello: () => Hello;
  readonly handlers: PeerHandlers;
  readonly counters: WireCounters;
  readonly wallMs?: () => number;
}

/** Exchanges hellos; resolves with the peer or the reason it failed. */
export function createPeer(
  socket: Socket,
  options: PeerOptions,
): Promise<Result<Peer, string>> {
  const { handlers, counters, wallMs = Date.now } = options;
  const clockOffset = createClockOffset(wallMs);
  const decoder = createFrameDecoder();
  const ports = new Map<number, StreamPort>();
  let nextStreamId = options.isDialler ? 1 : 2;
  let lastRemoteStreamId = 0;
  let lastHeardMs = performance.now();
  let closeReason: string | undefined;
  let peer: Peer | undefined;
  let unsentSinceMs: number | undefined;
  let isFlushSoon = false;
  let unsent: Buffer[] = [];
  const unsentBytes = new Map<string, number>();
  let resolveClosed: (reason: string) => void;
  let resolvePeer: (result: Result<Peer, string>) => void;
  const closed = new Promise<string>((resolve) => (resolveClosed = resolve));
  const ready = new Promise<Result<Peer, string>>(
    (resolve) => (resolvePeer = resolve),
  );

  /** The other side would close the connection, and with it every stream. */
  function dropOversized(frame: Frame) {
    counters.framesDropped.increment({ reason: "frame_too_large" });
    if (!("streamId" in frame)) return;
    const { streamId } = frame;
    sendFrame({ type: "reset", streamId, reason: "frame_too_large" });
    // Deferred, so that the caller has the stream when it is lost.
    setImmediate(() => ports.get(streamId)?.lose("frame_too_large"));
  }

  function sendFrame(frame: Frame) {
    if (closeReason !== undefined) return;
    const bytes =
      frame.type === "notice" ? encodeNotice(frame) : encodeFrame(frame);
    if (bytes.length > MAX_FRAME_BYTES) return dropOversized(frame);
    unsent.push(bytes);
    const purpose = readPurpose(frame);
    unsentBytes.set(purpose, (unsentBytes.get(purpose) ?? 0) + bytes.length);
    flushLater(frame.type === "data");
    if (performance.now() - unsentSinceMs! > MAX_UNSENT_MS) flush();
  }

  /**
   * Data of many streams leaves together at the end of the event-loop turn.
   * Other frames start or end a request, so they leave after this callback.
   */
  function flushLater(isData: boolean) {
    if (unsentSinceMs === undefined) {
      unsentSinceMs = performance.now();
      if (isData) setImmediate(flush);
    }
    if (isData || isFlushSoon) return;
    isFlushSoon = true;
    process.nextTick(flush);
  }

  function flush() {
    if (unsentSinceMs === undefined) return;
    unsentSinceMs = undefined;
    isFlushSoon = false;
    const frames = unsent;
    unsent = [];
    if (closeReason !== undefined) return;
    const totalBytes = frames.reduce((sum, bytes) => sum + bytes.length, 0);
    if (totalBytes <= MAX_JOINED_BYTES) {
      socket.write(Buffer.concat(frames, totalBytes));
    } else {
      socket.cork();
      frames.forEach((bytes) => socket.write(bytes));
      socket.uncork();
    }
    const to = peer?.hello.dataCentre ?? "unknown";
    unsentBytes.forEach((bytes, purpose) =>
      counters.bytesSent.increment({ purpose, to }, bytes),
    );
    unsentBytes.clear();
  }

  function close(reason: string) {
    if (closeReason !== undefined) return;
    closeReason = reason;
    clearInterval(pingTimer);
    clearTimeout(helloTimer);
    socket.destroy();
    counters.connectionsClosed.increment({ reason });
    [...ports.values()].forEach((port) => port.lose(reason));
    ports.clear();
    resolvePeer(err(reason));
    resolveClosed(reason);
  }

  function addStream(streamId: number, head: OpenHead): StreamPort {
    const port = createStream(streamId, head, {
      sendFrame,
      onFinished: () => ports.delete(streamId),
    });
    ports.set(streamId, port);
    return port;
  }

  function onOpen(streamId: number, rawHead: unknown) {
    const head = parseOpenHead(rawHead);
    const isRemoteId = streamId % 2 === (options.isDialler ? 0 : 1);
    if (!isRemoteId || streamId <= lastRemoteStreamId) {
      return close("protocol_error");
    }
    lastRemoteStreamId = streamId;
    if (head === undefined || ports.size >= MAX_STREAMS) {
      const reason = head === undefined ? "malformed_head" : "too_many_streams";
      counters.framesDropped.increment({ reason });
      return sendFrame({ type: "reset", streamId, reason });
    }
    const { stream } = addStream(streamId, head);
    handlers.onStream(peer!, stream);
  }

  function onFrame(frame: Frame) {
    if (peer === undefined) return onHello(frame);
    switch (frame.type) {
      case "hello":
        return close("protocol_error");
      case "open":
        return onOpen(frame.streamId, frame.head);
      case "notice":
        return onNotice(frame.notice);
      case "ping":
        return sendFrame({
          type: "pong",
          nonce: frame.nonce,
          wallMs: wallMs(),
        });
      case "pong":
        return clockOffset.onPong(frame.wallMs);
      default: {
        const port = ports.get(frame.streamId);
        if (port === undefined) {
          // Late frames of a finished stream; they must reach no other one.
          return counters.framesDropped.increment({ reason: "no_stream" });
        }
        if (port.onFrame(frame) === "flow_violation") close("flow_violation");
      }
    }
  }

  function onNotice(rawNotice: unknown) {
    const notice = parseNotice(rawNotice);
    if (notice === undefined) {
      // A topic of a later protocol version or a faulty sender.
      return counters.framesDropped.increment({ reason: "malformed_notice" });
    }
    counters.noticesReceived.increment({ topic: notice.topic });
    handlers.onNotice(peer!, notice);
  }

  function onHello(frame: Frame) {
    const hello = frame.type === "hello" ? parseHello(frame.hello) : undefined;
    if (hello === undefined) return close("protocol_error");
    clearTimeout(helloTimer);
    peer = {
      hello,
      remoteAddress: `${socket.remoteAddress}:${socket.remotePort}`,
      closed,
      close,
      clockAheadMs: clockOffset.aheadMs,
      roundTripMs: clockOffset.roundTripMs,
      openStreams: () => ports.size,
      isClosed: () => closeReason !== undefined,
      openStream(head) {
        if (closeReason !== undefined) {
          return err({ type: "stream_lost", reason: closeReason });
        }
        const streamId = nextStreamId;
        nextStreamId += 2;
        const port = addStream(streamId, head);
        sendFrame({ type: "open", streamId, head });
        return ok(port.stream);
      },
      sendNotice: (notice) => sendFrame({ type: "notice", notice }),
    };
    resolvePeer(ok(peer));
    sendPing();
  }

  function sendPing() {
    clockOffset.onPing();
    sendFrame({ type: "ping", nonce: 0 });
  }

  const helloTimer = setTimeout(() => close("hello_timeout"), HELLO_TIMEOUT_MS);
  const pingTimer = setInterval(() => {
    const silentMs = performance.now() - lastHeardMs;
    if (silentMs > SILENCE_LIMIT_MS) return close("silent");
    sendPing();
  }, PING_INTERVAL_MS);
  pingTimer.unref();

  socket.setNoDelay(true);
  socket.on("error", () => close("socket_error"));
  socket.on("close", () => close("closed_by_peer"));
  socket.on("data", (bytes: Buffer) => {
    lastHeardMs = performance.now();
    counters.bytesReceived.increment({}, bytes.length);
    decoder.push(bytes).match(
      (frames) => frames.forEach(onFrame),
      (error) => close(error),
    );
  });
  sendFrame({ type: "hello", hello: options.hello() });
  return ready;
}

/** What the bytes of a frame serve, for the counters. */
function readPurpose(frame: Frame): string {
  if (frame.type !== "notice") return frame.type;
  return (frame.notice as Notice).topic;
}
