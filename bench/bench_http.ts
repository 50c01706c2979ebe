/** Short HTTP requests to entries, agents and the admin routes of stand-ins. */

import { Agent, request } from "undici";

/** Disables keep-alive, because a server may close an idle connection at any time. */
const dispatcher = new Agent({ pipelining: 0 });

export async function sendText(
  method: "PUT" | "POST",
  url: string,
  text: string,
): Promise<void> {
  const { body } = await request(url, { method, body: text, dispatcher });
  await body.dump();
}

export async function readText(url: string): Promise<string> {
  const { body } = await request(url, { dispatcher });
  return body.text();
}
