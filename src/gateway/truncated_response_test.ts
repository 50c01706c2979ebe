/**
 * Responses that an endpoint cuts off at any byte, by a FIN or a reset. The
 * kernel of an endpoint that crashes sends the FIN, so it is gone afterwards.
 */

import { afterEach, expect, test } from "@jest/globals";
import type { Socket } from "node:net";
import type { CallRoute } from "../directory/mod.ts";
import { callTestGateway } from "./testing/caller.ts";
import type { TestResponse } from "./testing/caller.ts";
import { startTestGateway } from "./testing/mod.ts";
import { startRawEndpoint } from "./testing/raw_endpoint.ts";
import type { RawRequest } from "./testing/raw_endpoint.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

const EVENTS = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n";
const HEAD =
  "HTTP/1.1 200 OK\r\nx-attempt: a1\r\ncontent-type: text/event-stream\r\n";

/** Complete responses, by the framing of their bodies. */
const RESPONSES: Readonly<Record<string, string>> = {
  "a length": `${HEAD}content-length: ${EVENTS.length}\r\n\r\n${EVENTS}`,
  "a length, of a connection that closes": `${HEAD}connection: close\r\ncontent-length: ${EVENTS.length}\r\n\r\n${EVENTS}`,
  chunks: `${HEAD}transfer-encoding: chunked\r\n\r\n20\r\n${EVENTS}\r\n0\r\n\r\n`,
  "neither length nor chunks": `${HEAD}\r\n${EVENTS}`,
  "another transfer coding": `${HEAD}transfer-encoding: identity\r\n\r\n${EVENTS}`,
};
const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  FIN: (socket) => void socket.end(),
  "reset at once": (socket) => void socket.resetAndDestroy(),
  "later reset": (socket) =>
    void setTimeout(() => socket.resetAndDestroy(), 30),
};
const ROUTES: Readonly<Record<string, Partial<CallRoute>>> = {
  "an idempotent request": { kind: "idempotent", isResumable: false },
  "a non-idempotent request": { kind: "non_idempotent", isResumable: false },
  "a stream": { kind: "stream", isResumable: false },
  "a resumable stream": { kind: "stream", isResumable: true },
};

/** Each call gets a response that is cut off, and a complete one if retried. */
async function startFleet(
  route: Partial<CallRoute>,
  cut: (request: RawRequest, cutAt: number) => void,
) {
  const seen = new Set<number>();
  function respond(request: RawRequest) {
    const cutAt = Number(request.text.split("\r\n\r\n")[1]);
    if (!seen.has(cutAt)) {
      seen.add(cutAt);
      return cut(request, cutAt);
    }
    const lastId = Number(/x-last: (\d+)/.exec(request.text)?.[1] ?? 0);
    const body = EVENTS.slice((EVENTS.length / 2) * lastId);
    request.socket.write(
      `${HEAD}content-length: ${body.length}\r\n\r\n${body}`,
    );
  }
  const endpoints = await Promise.all([respond, respond].map(startRawEndpoint));
  const gateway = await startTestGateway({
    endpoints,
    route,
    retries: 10_000,
    isEndConfirmed: () => false,
  });
  closers.push(gateway.close, ...endpoints.map(({ close }) => close));
  return gateway;
}

const cases = Object.keys(ROUTES).flatMap((route) =>
  Object.keys(RESPONSES).flatMap((framing) =>
    Object.keys(ENDINGS).map((ending) => ({ route, framing, ending })),
  ),
);

function isWhole({ status, body, isComplete }: TestResponse): boolean {
  return status === 200 && isComplete && body === EVENTS;
}

/** True if the response is a failure, or delimited and seen as broken. */
function isSeenAsIncomplete({
  status,
  isComplete,
  headers,
}: TestResponse): boolean {
  const isDelimited =
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
  return status !== 200 || (!isComplete && isDelimited);
}

test.each(cases)(
  "a response to $route, with $framing, does not look complete after a $ending at any byte",
  async ({ route, framing, ending }) => {
    const whole = RESPONSES[framing]!;
    const gateway = await startFleet(ROUTES[route]!, ({ socket }, cutAt) => {
      socket.write(whole.slice(0, cutAt));
      ENDINGS[ending]!(socket);
    });
    // The heads begin alike; one framing shows all cuts of that part.
    const firstCut = framing === "a length" ? 0 : HEAD.length;
    const results = await Promise.all(
      Array.from({ length: whole.length - firstCut }, async (_, index) => {
        const cutAt = firstCut + index;
        const body = String(cutAt);
        const response = await callTestGateway(gateway.url, {}, { body });
        return { cutAt, response };
      }),
    );
    const mistaken = results
      .filter(
        ({ response }) => !isWhole(response) && !isSeenAsIncomplete(response),
      )
      .map(({ cutAt, response: { status, headers, body } }) => {
        const length = headers["content-length"];
        return `cut at ${cutAt}: ${status}, length ${length}, body ${JSON.stringify(body)}`;
      });
    expect(mistaken).toEqual([]);
  },
);
