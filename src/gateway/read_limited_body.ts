/** Reads a request body up to a size limit. */

import type { IncomingMessage } from "node:http";

export function readLimitedBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | "too_large" | "incomplete"> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on("data", (bytes: Buffer) => {
      sizeBytes += bytes.length;
      if (sizeBytes > maxBytes) resolve("too_large");
      else chunks.push(bytes);
    });
    request.once("end", () => resolve(Buffer.concat(chunks)));
    // "close" is also emitted after "end" and has no effect then.
    request.once("close", () => resolve("incomplete"));
    request.once("error", () => resolve("incomplete"));
  });
}
