/** Reads the whole body of a request, bounded in size and in time. */

import type { IncomingMessage } from "node:http";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

export type BodyError = "body_too_large" | "slow_request" | "caller_left";

export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

export function readBody(
  incoming: IncomingMessage,
  { maxBytes, timeoutMs }: BodyLimits,
): Promise<Result<Buffer, BodyError>> {
  if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
    return Promise.resolve(err("body_too_large"));
  }
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let sizeBytes = 0;
    const timer = setTimeout(() => settle(err("slow_request")), timeoutMs);

    function settle(result: Result<Buffer, BodyError>) {
      clearTimeout(timer);
      incoming.off("data", onData);
      incoming.off("end", onEnd);
      incoming.off("close", onClose);
      if (result.isErr()) incoming.pause();
      resolve(result);
    }

    function onData(part: Buffer) {
      sizeBytes += part.length;
      if (sizeBytes > maxBytes) return settle(err("body_too_large"));
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
