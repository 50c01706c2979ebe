/** Reads a request body within limits of size and time. */

import type { IncomingMessage } from "node:http";
import type { BufferBudget, BufferShare } from "./buffer_budget.ts";

export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  readonly buffers: BufferBudget;
}

export type BodyFailure =
  "too_large" | "too_slow" | "buffers_full" | "incomplete";

export type ReadBody =
  | {
      readonly type: "complete";
      readonly body: Buffer;
      /** Closed by the caller of `readLimitedBody`. */
      readonly share: BufferShare;
    }
  | { readonly type: BodyFailure };

export function readLimitedBody(
  request: IncomingMessage,
  { maxBytes, timeoutMs, buffers }: BodyLimits,
): Promise<ReadBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    let isSettled = false;
    const share = buffers.open(() => fail("buffers_full"));
    const timer = setTimeout(() => fail("too_slow"), Math.max(0, timeoutMs));

    function settle(result: ReadBody) {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      resolve(result);
    }

    function fail(type: BodyFailure) {
      if (isSettled) return;
      chunks.splice(0);
      share.close();
      settle({ type });
    }

    request.on("data", (bytes: Buffer) => {
      if (isSettled) return;
      sizeBytes += bytes.length;
      if (sizeBytes > maxBytes) return fail("too_large");
      chunks.push(bytes);
      share.hold(sizeBytes);
    });
    request.once("end", () => {
      share.keep();
      settle({ type: "complete", body: Buffer.concat(chunks), share });
    });
    // "close" is also emitted after "end" and has no effect then.
    request.once("close", () => fail("incomplete"));
    request.once("error", () => fail("incomplete"));
  });
}
