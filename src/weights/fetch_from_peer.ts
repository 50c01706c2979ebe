/** Downloads one chunk, or the manifest, from another agent. */

import type { Peer, Stream, StreamEvent } from "../wire/mod.ts";
import { createByteAssembler, STALL_TIMEOUT_MS } from "./fetch_result.ts";
import type { FetchLimits, FetchResult } from "./fetch_result.ts";

/** Index that requests the manifest instead of a chunk. */
export const MANIFEST_INDEX = -1;
const MAX_RETRY_AFTER_MS = 5_000;
const DEFAULT_RETRY_AFTER_MS = 100;

export interface PeerRequest {
  readonly manifestDigest: string;
  readonly index: number;
}

export async function fetchFromPeer(
  peer: Peer,
  request: PeerRequest,
  limits: FetchLimits,
): Promise<FetchResult> {
  const opened = peer.openStream({ kind: "chunk", ...request });
  if (opened.isErr()) return { type: "failed", reason: "connection_lost" };
  const stream = opened.value;
  const abort = () => stream.reset("transfer_ended");
  limits.signal.addEventListener("abort", abort);
  if (limits.signal.aborted) abort();
  try {
    return await receive(stream, limits);
  } finally {
    limits.signal.removeEventListener("abort", abort);
    stream.end({ outcome: "answered" });
  }
}

async function receive(
  stream: Stream,
  limits: FetchLimits,
): Promise<FetchResult> {
  const assembler = createByteAssembler(limits);
  for (;;) {
    await limits.waitForBandwidth();
    const event = await readWithTimeout(stream, STALL_TIMEOUT_MS);
    if (event === undefined) {
      stream.reset("stalled");
      return { type: "failed", reason: "stalled" };
    }
    switch (event.type) {
      case "data":
        limits.onBytes(event.bytes.length);
        if (assembler.push(event.bytes)) break;
        stream.reset("too_long");
        return { type: "corrupt", reason: "too_long" };
      case "lost":
        return { type: "failed", reason: "connection_lost" };
      case "end": {
        const { trailer } = event;
        if (trailer?.outcome === "answered") return assembler.finish();
        return {
          type: "refused",
          code: String(trailer?.code ?? "refused"),
          retryAfterMs: clampRetryAfter(trailer?.retryAfterMs),
        };
      }
      default:
        break;
    }
  }
}

/** The trailer comes from another process, so its types must be checked. */
function clampRetryAfter(value: unknown): number {
  if (typeof value !== "number" || !(value >= 0)) return DEFAULT_RETRY_AFTER_MS;
  return Math.min(value, MAX_RETRY_AFTER_MS);
}

async function readWithTimeout(
  stream: Stream,
  timeoutMs: number,
): Promise<StreamEvent | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), timeoutMs);
  });
  try {
    return await Promise.race([stream.read(), timeout]);
  } finally {
    clearTimeout(timer);
  }
}
