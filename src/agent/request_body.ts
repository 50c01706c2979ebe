/** Reads request bodies and adds the fields that the engine expects. */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { RequestHead, Stream } from "../wire/mod.ts";

/** Safety limit; entries enforce a lower, configured one. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

export type BodyFailure = "lost" | "body_too_large";

export async function readBody(
  stream: Stream,
): Promise<Result<Uint8Array, BodyFailure>> {
  const parts: Uint8Array[] = [];
  let sizeBytes = 0;
  for (;;) {
    const event = await stream.read();
    if (event.type === "lost") return err("lost");
    if (event.type === "end") {
      return ok(parts.length === 1 ? parts[0]! : Buffer.concat(parts));
    }
    if (event.type !== "data") continue;
    sizeBytes += event.bytes.length;
    if (sizeBytes > MAX_BODY_BYTES) return err("body_too_large");
    parts.push(event.bytes);
  }
}

/**
 * Reads and discards the rest, so that flow control does not block the sender.
 */
export async function drainBody(stream: Stream): Promise<void> {
  for (;;) {
    const event = await stream.read();
    if (event.type === "lost" || event.type === "end") return;
  }
}

/** Undefined if the body is not a JSON object. */
export function addEngineFields(
  body: Uint8Array,
  head: RequestHead,
): Uint8Array | undefined {
  const parsed = parseObject(body);
  if (parsed === undefined) return undefined;
  const { requestId, priority, resume } = head;
  return Buffer.from(
    JSON.stringify({
      ...parsed,
      request_id: requestId,
      priority,
      ...(resume === undefined ? {} : { resume }),
    }),
  );
}

function parseObject(body: Uint8Array): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(Buffer.from(body).toString());
    const isObject =
      typeof value === "object" && value !== null && !Array.isArray(value);
    return isObject ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}
