/**
 * Client and server of a `snapshot` stream. The client sends the version that
 * it holds; the server replies with a delta, the whole value or "unchanged".
 */

import { promisify } from "node:util";
import { brotliCompress, brotliDecompress, constants } from "node:zlib";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { parseSnapshotReply } from "../wire/mod.ts";
import type { Peer, SnapshotReply, Stream } from "../wire/mod.ts";
import { applyDelta, deriveDelta } from "./delta.ts";
import { computeDigest, MAX_VALUE_BYTES } from "./snapshot_store.ts";
import type { Snapshot, SnapshotStore } from "./snapshot_store.ts";

const compress = promisify(brotliCompress);
const decompress = promisify(brotliDecompress);
/** Level 5 compresses 1 MB of YAML in well under 50 ms on the worker pool. */
const COMPRESSION_LEVEL = 5;

/** Caches the compressed form of the last whole value served per topic. */
export interface SnapshotServer {
  serve(stream: Stream, store: SnapshotStore): Promise<void>;
}

export interface SnapshotServerOptions {
  readonly isRecoveringFromPause: () => boolean;
}

interface EncodedReply {
  readonly reply: SnapshotReply;
  readonly bytes: Uint8Array;
}

export function createSnapshotServer(
  options: SnapshotServerOptions,
): SnapshotServer {
  const compressed = new Map<string, Promise<Buffer>>();

  function compressOnce({ topic }: SnapshotStore, snapshot: Snapshot<unknown>) {
    const key = `${topic} ${snapshot.digest}`;
    const found = compressed.get(key);
    if (found !== undefined) return found;
    [...compressed.keys()]
      .filter((other) => other.startsWith(`${topic} `))
      .forEach((other) => compressed.delete(other));
    const created = compress(snapshot.bytes, {
      params: { [constants.BROTLI_PARAM_QUALITY]: COMPRESSION_LEVEL },
    });
    compressed.set(key, created);
    return created;
  }

  async function createReply(
    stream: Stream,
    store: SnapshotStore,
  ): Promise<EncodedReply> {
    const snapshot = store.current();
    const sharedFields = {
      kind: "snapshot_reply",
      version: snapshot?.version ?? 0,
      digest: snapshot?.digest ?? "",
      confirmedAtMs: store.confirmedAtMs(),
      publishedAtMs: snapshot?.publishedAtMs ?? 0,
      ...(options.isRecoveringFromPause() ? { waking: true } : {}),
    } as const;
    const { head } = stream;
    if (
      snapshot === undefined ||
      head.kind !== "snapshot" ||
      head.heldVersion >= snapshot.version
    ) {
      return {
        reply: { ...sharedFields, encoding: "unchanged" },
        bytes: Buffer.alloc(0),
      };
    }
    const base = store.findBase(head.heldVersion, head.heldDigest);
    const delta =
      base === undefined ? undefined : deriveDelta(base, snapshot.bytes);
    const wholeBytes = await compressUnlessDeltaIsSmall(delta?.inserted);
    if (delta !== undefined && wholeBytes === undefined) {
      const { keptPrefixBytes, keptSuffixBytes, inserted } = delta;
      return {
        reply: {
          ...sharedFields,
          encoding: "delta",
          keptPrefixBytes,
          keptSuffixBytes,
        },
        bytes: inserted,
      };
    }
    return {
      reply: { ...sharedFields, encoding: "whole" },
      bytes: wholeBytes ?? Buffer.alloc(0),
    };

    /** A delta of two edits far apart can be larger than the whole value. */
    async function compressUnlessDeltaIsSmall(
      inserted: Uint8Array | undefined,
    ) {
      if (inserted !== undefined && inserted.length < 4_096) return;
      const whole = await compressOnce(store, snapshot!);
      return inserted !== undefined && inserted.length <= whole.length
        ? undefined
        : whole;
    }
  }

  return {
    async serve(stream, store) {
      const { reply, bytes } = await createReply(stream, store);
      if (stream.send(reply).isErr()) return;
      if (bytes.length > 0 && (await stream.write(bytes)).isErr()) return;
      stream.end({ outcome: "answered" });
    },
  };
}

export type PullFailure =
  "lost" | "timeout" | "malformed" | "bad_digest" | "too_large";

export interface PullResult {
  readonly reply: SnapshotReply;
  /** Absent if the peer has nothing newer. */
  readonly bytes?: Buffer;
}

export interface PullOptions {
  /** Timeout for each event from the peer. */
  readonly timeoutMs: number;
  /** Requests the whole value instead of a delta. */
  readonly requestWhole?: boolean;
}

/** Requests a value newer than the one that `store` holds from `peer`. */
export async function pullSnapshot(
  peer: Peer,
  store: SnapshotStore,
  options: PullOptions,
): Promise<Result<PullResult, PullFailure>> {
  const held = store.held();
  const base = options.requestWhole ? undefined : held;
  const opened = peer.openStream({
    kind: "snapshot",
    topic: store.topic,
    heldVersion: base?.version ?? 0,
    heldDigest: base?.digest ?? "",
  });
  if (opened.isErr()) return err("lost");
  const stream = opened.value;
  stream.end({ outcome: "answered" });
  const received = await receiveReply(stream, options.timeoutMs);
  if (received.isErr()) {
    stream.reset("pull_failed");
    return err(received.error);
  }
  const { reply, body } = received.value;
  if (reply.encoding === "unchanged") return ok({ reply });
  const decoded = await decodeReply(reply, { body, base: base?.bytes });
  if (decoded.isErr()) return err(decoded.error);
  if (computeDigest(decoded.value) !== reply.digest) return err("bad_digest");
  return ok({ reply, bytes: decoded.value });
}

async function receiveReply(
  stream: Stream,
  timeoutMs: number,
): Promise<Result<{ reply: SnapshotReply; body: Buffer }, PullFailure>> {
  const chunks: Uint8Array[] = [];
  let reply: SnapshotReply | undefined;
  let sizeBytes = 0;
  for (;;) {
    const event = await readWithTimeout(stream, timeoutMs);
    if (event === undefined) return err("timeout");
    switch (event.type) {
      case "message":
        if (reply !== undefined) return err("malformed");
        reply = parseSnapshotReply(event.message);
        if (reply === undefined) return err("malformed");
        break;
      case "data":
        sizeBytes += event.bytes.length;
        if (sizeBytes > MAX_VALUE_BYTES) return err("too_large");
        chunks.push(event.bytes);
        break;
      case "end":
        if (reply === undefined) return err("malformed");
        return ok({ reply, body: Buffer.concat(chunks) });
      case "lost":
        return err("lost");
    }
  }
}

async function readWithTimeout(stream: Stream, timeoutMs: number) {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), timeoutMs);
  });
  const event = await Promise.race([stream.read(), timeout]);
  clearTimeout(timer);
  return event;
}

interface EncodedBody {
  readonly body: Buffer;
  readonly base: Buffer | undefined;
}

async function decodeReply(
  reply: SnapshotReply,
  { body, base }: EncodedBody,
): Promise<Result<Buffer, PullFailure>> {
  if (reply.encoding === "delta") {
    if (base === undefined) return err("malformed");
    return applyDelta(base, {
      keptPrefixBytes: reply.keptPrefixBytes ?? 0,
      keptSuffixBytes: reply.keptSuffixBytes ?? 0,
      inserted: body,
    }).mapErr(() => "malformed" as const);
  }
  try {
    return ok(await decompress(body, { maxOutputLength: MAX_VALUE_BYTES }));
  } catch {
    return err("malformed");
  }
}
