/** Test endpoints with scripted responses behind one gateway. */

import { startTestEndpoint, startTestGateway } from "./mod.ts";
import type { TestGatewayOptions } from "./mod.ts";

export type Respond = Parameters<typeof startTestEndpoint>[0];

/** Starts one endpoint for each response function, and a gateway for them. */
export async function startTestFleet(
  responds: readonly Respond[],
  options: Omit<TestGatewayOptions, "endpoints"> & {
    /** Weight version that each endpoint serves. */
    readonly versions?: readonly number[];
  } = {},
) {
  const endpoints = await Promise.all(responds.map(startTestEndpoint));
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

export const answerWhole: Respond = (_, response) => response.end("whole");
export const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
export const streamAll: Respond = (request, response) => {
  const from = Number(request.headers["x-last"] ?? 0);
  response.writeHead(200, { "content-type": "text/event-stream" });
  [1, 2, 3, 4]
    .filter((id) => id > from)
    .forEach((id) => {
      response.write(event(id));
    });
  response.end();
};
export const WHOLE_STREAM = [1, 2, 3, 4].map(event).join("");
export const resetAtOnce: Respond = (request) =>
  request.socket.resetAndDestroy();
