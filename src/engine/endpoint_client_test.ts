/** Responses that an endpoint cuts off at any byte or writes once more. */

import { afterEach, expect, test } from "@jest/globals";
import type { Socket } from "node:net";
import { startRawEndpoint } from "../gateway/testing/raw_endpoint.ts";
import { createEndpointClient } from "./mod.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

const HEAD = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n";
const BODY = "whole body";
const RESPONSES: Readonly<Record<string, string>> = {
  "a length": `${HEAD}content-length: 10\r\n\r\n${BODY}`,
  chunks: `${HEAD}transfer-encoding: chunked\r\n\r\na\r\n${BODY}\r\n0\r\n\r\n`,
  "neither length nor chunks": `${HEAD}\r\n${BODY}`,
  "another transfer coding": `${HEAD}transfer-encoding: identity\r\n\r\n${BODY}`,
};
const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  FIN: (socket) => void socket.end(),
  reset: (socket) => void setTimeout(() => socket.resetAndDestroy(), 30),
};
const cases = Object.keys(RESPONSES).flatMap((framing) =>
  Object.keys(ENDINGS).flatMap((ending) =>
    [true, false].map((isRepeatable) => ({ framing, ending, isRepeatable })),
  ),
);

/** Undefined if the response is missing or seen to be incomplete. */
async function readCompleteBody(
  client: ReturnType<typeof createEndpointClient>,
  options: { readonly sent: string; readonly isRepeatable: boolean },
): Promise<string | undefined> {
  const response = await client.send({
    method: "POST",
    path: "/",
    headers: {},
    body: Buffer.from(options.sent),
    signal: new AbortController().signal,
    isRepeatable: options.isRepeatable,
  });
  if (response.isErr()) return undefined;
  const parts: Uint8Array[] = [];
  try {
    for await (const bytes of response.value.body) parts.push(bytes);
  } catch {
    return undefined;
  }
  const body = Buffer.concat(parts).toString();
  return response.value.isDelimited ? body : undefined;
}

// Guards against a short body that is relayed as a complete one.
test.each(cases)(
  "a response with $framing is not complete after a $ending at any byte (repeatable: $isRepeatable)",
  async ({ framing, ending, isRepeatable }) => {
    const whole = RESPONSES[framing]!;
    const endpoint = await startRawEndpoint(({ socket, text }) => {
      socket.write(whole.slice(0, Number(text.split("\r\n\r\n")[1])));
      ENDINGS[ending]!(socket);
    });
    const client = createEndpointClient(`http://${endpoint.address}`);
    closers.push(client.close, endpoint.close);
    const bodies = await Promise.all(
      Array.from({ length: whole.length }, (_, cutAt) =>
        readCompleteBody(client, { sent: String(cutAt), isRepeatable }),
      ),
    );
    expect(bodies.filter((body) => body !== undefined)).toEqual([]);
  },
);

// Guards against an earlier response that is taken for the one to this request.
test.each([
  { timing: "after the response", isRepeatable: true },
  { timing: "on an idle connection", isRepeatable: true },
  { timing: "before the next response", isRepeatable: false },
])(
  "a response written once more $timing belongs to no request (repeatable: $isRepeatable)",
  async ({ timing, isRepeatable }) => {
    const stale = `${HEAD}content-length: 5\r\n\r\nstale`;
    const endpoint = await startRawEndpoint((request) => {
      const { socket, text, earlierRequests } = request;
      const body = text.split("\r\n\r\n")[1]!;
      const isBefore = timing === "before the next response";
      if (isBefore && earlierRequests > 0) socket.write(stale);
      socket.write(`${HEAD}content-length: ${body.length}\r\n\r\n${body}`);
      if (timing === "after the response") socket.write(stale);
      else if (timing === "on an idle connection") {
        setTimeout(() => socket.write(stale), 10);
      }
    });
    const client = createEndpointClient(`http://${endpoint.address}`);
    closers.push(client.close, endpoint.close);
    for (const sent of ["one", "two", "three"]) {
      const body = await readCompleteBody(client, { sent, isRepeatable });
      expect(body).toBe(sent);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  },
);

// Guards against a body that is relayed as an answer with an impossible status.
test.each(["000", "0", "099", "20", "2000", "101", "600", "999"])(
  "a response with status %s counts as none, of a request that may have run",
  async (status) => {
    const endpoint = await startRawEndpoint(({ socket }) => {
      socket.write(`HTTP/1.1 ${status} OK\r\ncontent-length: 5\r\n\r\nwrong`);
    });
    const client = createEndpointClient(`http://${endpoint.address}`);
    closers.push(endpoint.close, () => client.close());
    const response = await client.send({
      method: "POST",
      path: "/",
      headers: {},
      body: Buffer.from("request"),
      signal: AbortSignal.timeout(2_000),
      isRepeatable: false,
    });
    expect(response.isErr() && response.error.mayHaveRun).toBe(true);
    expect(response.isErr() && response.error.reason).not.toMatch(
      /abort|time/i,
    );
  },
);
