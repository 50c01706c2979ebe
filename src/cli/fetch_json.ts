import { request } from "undici";
import VError from "verror";

const TIMEOUT_MS = 3_000;
/** A host list of 4,100 hosts is smaller than 1 MB. */
const MAX_RESPONSE_BYTES = 8_000_000;

/** Fetches JSON, with limits on time and size. */
export async function fetchJson(url: string): Promise<unknown> {
  const { statusCode, body } = await request(url, {
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  if (statusCode !== 200) {
    await body.dump();
    throw new VError("HTTP status %d", statusCode);
  }
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_RESPONSE_BYTES) {
      throw new VError("the response exceeds %d bytes", MAX_RESPONSE_BYTES);
    }
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString("utf8")) as unknown;
}
