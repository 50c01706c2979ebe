/** Test endpoints with scripted responses behind one gateway. */

import { startTestEndpoint, startTestGateway } from "./mod.ts";
import type { TestGatewayOptions } from "./mod.ts";

export type RequestHandler = Parameters<typeof startTestEndpoint>[0];

/** Starts one endpoint for each request handler, and a gateway for them. */
export async function startTestFleet(
  requestHandlers: readonly RequestHandler[],
  options: Omit<TestGatewayOptions, "endpoints"> & {
    /** Weight version that each endpoint serves. */
    readonly versions?: readonly number[];
  } = {},
) {
  const endpoints = await Promise.all(requestHandlers.map(startTestEndpoint));
  const gateway = await startTestGateway({
    endpoints: endpoints.map(({ address }, index) => ({
      address,
      models: [{ name: "m", version: options.versions?.[index] ?? 1 }],
    })),
    ...options,
  });
  return {
    gateway,
    endpoints,
    close: () =>
      Promise.all([gateway, ...endpoints].map((part) => part.close())),
  };
}

export const respondCompletely: RequestHandler = (_, response) =>
  response.end("whole");
export const createEvent = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
export const streamAll: RequestHandler = (request, response) => {
  const from = Number(request.headers["x-last"] ?? 0);
  response.writeHead(200, { "content-type": "text/event-stream" });
  [1, 2, 3, 4]
    .filter((id) => id > from)
    .forEach((id) => {
      response.write(createEvent(id));
    });
  response.end();
};
export const COMPLETE_STREAM = [1, 2, 3, 4].map(createEvent).join("");
export const resetAtOnce: RequestHandler = (request) =>
  request.socket.resetAndDestroy();
