/** Reads the body of a request up to a limit. */

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
    // Comes after the end as well, and has no effect then.
    request.once("close", () => resolve("incomplete"));
    request.once("error", () => resolve("incomplete"));
  });
}
