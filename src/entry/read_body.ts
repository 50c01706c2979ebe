/** Reads the whole body of a request, within limits of size and time. */

import type { IncomingMessage } from "node:http";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { MemoryPool } from "./memory_pool.ts";

export type BodyError =
  "body_too_large" | "slow_request" | "caller_left" | "overloaded";

export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /** Shared by all bodies; on success, the caller releases the body's bytes. */
  readonly pool: MemoryPool;
}

export function readBody(
  incoming: IncomingMessage,
  { maxBytes, timeoutMs, pool }: BodyLimits,
): Promise<Result<Buffer, BodyError>> {
  if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
    return Promise.resolve(err("body_too_large"));
  }
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let receivedBytes = 0;
    const timer = setTimeout(() => settle(err("slow_request")), timeoutMs);

    function settle(result: Result<Buffer, BodyError>) {
      clearTimeout(timer);
      incoming.off("data", onData);
      incoming.off("end", onEnd);
      incoming.off("close", onClose);
      if (result.isErr()) {
        incoming.pause();
        pool.release(receivedBytes);
      }
      resolve(result);
    }

    function onData(part: Buffer) {
      if (receivedBytes + part.length > maxBytes) {
        return settle(err("body_too_large"));
      }
      if (!pool.reserve(part.length)) return settle(err("overloaded"));
      receivedBytes += part.length;
      parts.push(part);
    }

    function onEnd() {
      settle(ok(parts.length === 1 ? parts[0]! : Buffer.concat(parts)));
    }

    function onClose() {
      settle(err("caller_left"));
    }

    incoming.on("data", onData);
    incoming.on("end", onEnd);
    incoming.on("close", onClose);
    incoming.on("error", () => undefined);
  });
}
