/**
 * A long-lived connection to another process of the system. Received frames are
 * dispatched to their streams. Data frames written in one event-loop iteration
 * are sent in few TCP segments.
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
import type { Stream, StreamLost, StreamController } from "./stream.ts";
import type { WireCounters } from "./wire_counters.ts";

const PING_INTERVAL_MS = 2_000;
const IDLE_TIMEOUT_MS = 6_000;
const HELLO_TIMEOUT_MS = 2_000;
const MAX_STREAMS = 4_096;
/**
 * One event-loop iteration can read dozens of tokens. Sending the first ones
 * before its end lets the other process handle them in parallel. The smaller
 * segments cost an entry about a tenth more processor time.
 */
const MAX_BUFFERED_MS = 0.25;
/** Copying small frames into one buffer costs less than one write per frame. */
const MAX_COALESCED_BYTES = 64 * 1024;

export interface PeerHandlers {
  /** Called for each stream that the peer opens. */
  readonly onStream: (peer: Peer, stream: Stream) => void;
  readonly onNotice: (peer: Peer, notice: Notice) => void;
}

export interface Peer {
  readonly hello: Hello;
  readonly remoteAddress: string;
  /** Fails only if the connection is closed; nothing is sent in that case. */
  openStream(head: OpenHead): Result<Stream, StreamLost>;
  sendNotice(notice: Notice): void;
  /** How far the peer's clock is ahead; undefined until it is sampled. */
  clockAheadMs?(): number | undefined;
  /** Round trip of the last ping, which includes queueing on congested links. */
  roundTripMs?(): number | undefined;
  /** Number of streams that are open in at least one direction. */
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

/** Exchanges hellos; resolves with the peer or the reason for the failure. */
export function createPeer(
  socket: Socket,
  options: PeerOptions,
): Promise<Result<Peer, string>> {
  const { handlers, counters, wallMs = Date.now } = options;
  const clockOffset = createClockOffset(wallMs);
  const decoder = createFrameDecoder();
  const controllers = new Map<number, StreamController>();
  let nextStreamId = options.isDialler ? 1 : 2;
  let lastRemoteStreamId = 0;
  let lastReceivedAtMs = performance.now();
  let closeReason: string | undefined;
  let peer: Peer | undefined;
  let bufferedSinceMs: number | undefined;
  let isFlushScheduled = false;
  let buffered: Buffer[] = [];
  const bufferedBytes = new Map<string, number>();
  let resolveClosed: (reason: string) => void;
  let resolvePeer: (result: Result<Peer, string>) => void;
  const closed = new Promise<string>((resolve) => (resolveClosed = resolve));
  const ready = new Promise<Result<Peer, string>>(
    (resolve) => (resolvePeer = resolve),
  );

  /**
   * Resets the frame's stream instead of sending the frame: the peer would
   * close the connection, and with it all streams.
   */
  function rejectOversizedFrame(frame: Frame) {
    counters.framesDropped.increment({ reason: "frame_too_large" });
    if (!("streamId" in frame)) return;
    const { streamId } = frame;
    sendFrame({ type: "reset", streamId, reason: "frame_too_large" });
    // Deferred, because the caller may not have the stream yet.
    setImmediate(() => controllers.get(streamId)?.abort("frame_too_large"));
  }

  function sendFrame(frame: Frame) {
    if (closeReason !== undefined) return;
    const bytes =
      frame.type === "notice" ? encodeNotice(frame) : encodeFrame(frame);
    if (bytes.length > MAX_FRAME_BYTES) return rejectOversizedFrame(frame);
    buffered.push(bytes);
    const purpose = getPurpose(frame);
    bufferedBytes.set(
      purpose,
      (bufferedBytes.get(purpose) ?? 0) + bytes.length,
    );
    scheduleFlush(frame.type === "data");
    if (performance.now() - bufferedSinceMs! > MAX_BUFFERED_MS) flush();
  }

  /**
   * Data frames of all streams are sent together at the end of the event-loop
   * iteration. Other frames start or end a request, so they are sent directly
   * after the current callback.
   */
  function scheduleFlush(isData: boolean) {
    if (bufferedSinceMs === undefined) {
      bufferedSinceMs = performance.now();
      if (isData) setImmediate(flush);
    }
    if (isData || isFlushScheduled) return;
    isFlushScheduled = true;
    process.nextTick(flush);
  }

  function flush() {
    if (bufferedSinceMs === undefined) return;
    bufferedSinceMs = undefined;
    isFlushScheduled = false;
    const frames = buffered;
    buffered = [];
    if (closeReason !== undefined) return;
    const totalBytes = frames.reduce((sum, bytes) => sum + bytes.length, 0);
    if (totalBytes <= MAX_COALESCED_BYTES) {
      socket.write(Buffer.concat(frames, totalBytes));
    } else {
      socket.cork();
      frames.forEach((bytes) => socket.write(bytes));
      socket.uncork();
    }
    const to = peer?.hello.dataCentre ?? "unknown";
    bufferedBytes.forEach((bytes, purpose) =>
      counters.bytesSent.increment({ purpose, to }, bytes),
    );
    bufferedBytes.clear();
  }

  function close(reason: string) {
    if (closeReason !== undefined) return;
    closeReason = reason;
    clearInterval(pingTimer);
    clearTimeout(helloTimer);
    socket.destroy();
    counters.connectionsClosed.increment({ reason });
    [...controllers.values()].forEach((controller) => controller.abort(reason));
    controllers.clear();
    resolvePeer(err(reason));
    resolveClosed(reason);
  }

  function addStream(streamId: number, head: OpenHead): StreamController {
    const controller = createStream(streamId, head, {
      sendFrame,
      onFinished: () => controllers.delete(streamId),
    });
    controllers.set(streamId, controller);
    return controller;
  }

  function onOpen(streamId: number, rawHead: unknown) {
    const head = parseOpenHead(rawHead);
    const isRemoteId = streamId % 2 === (options.isDialler ? 0 : 1);
    if (!isRemoteId || streamId <= lastRemoteStreamId) {
      return close("protocol_error");
    }
    lastRemoteStreamId = streamId;
    if (head === undefined || controllers.size >= MAX_STREAMS) {
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
        const controller = controllers.get(frame.streamId);
        if (controller === undefined) {
          // A late frame of a finished stream must not reach another stream.
          return counters.framesDropped.increment({ reason: "no_stream" });
        }
        if (controller.onFrame(frame) === "flow_violation")
          close("flow_violation");
      }
    }
  }

  function onNotice(rawNotice: unknown) {
    const notice = parseNotice(rawNotice);
    if (notice === undefined) {
      // The topic of a later protocol version, or a faulty sender.
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
      openStreams: () => controllers.size,
      isClosed: () => closeReason !== undefined,
      openStream(head) {
        if (closeReason !== undefined) {
          return err({ type: "stream_lost", reason: closeReason });
        }
        const streamId = nextStreamId;
        nextStreamId += 2;
        const controller = addStream(streamId, head);
        sendFrame({ type: "open", streamId, head });
        return ok(controller.stream);
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
    const idleMs = performance.now() - lastReceivedAtMs;
    if (idleMs > IDLE_TIMEOUT_MS) return close("silent");
    sendPing();
  }, PING_INTERVAL_MS);
  pingTimer.unref();

  socket.setNoDelay(true);
  socket.on("error", () => close("socket_error"));
  socket.on("close", () => close("closed_by_peer"));
  socket.on("data", (bytes: Buffer) => {
    lastReceivedAtMs = performance.now();
    counters.bytesReceived.increment({}, bytes.length);
    decoder.push(bytes).match(
      (frames) => frames.forEach(onFrame),
      (error) => close(error),
    );
  });
  sendFrame({ type: "hello", hello: options.hello() });
  return ready;
}

/** Label of the counters for the bytes of a frame. */
function getPurpose(frame: Frame): string {
  if (frame.type !== "notice") return frame.type;
  return (frame.notice as Notice).topic;
}
