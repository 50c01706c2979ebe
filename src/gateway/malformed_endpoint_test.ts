import { afterEach, expect, test } from "@jest/globals";
import { createRegistry } from "../metrics/mod.ts";
import { createEndpointConnections } from "./endpoint_connections.ts";
import { callTestGateway as call } from "./testing/caller.ts";
import { respondCompletely } from "./testing/fleet.ts";
import { startTestEndpoint, startTestGateway } from "./testing/mod.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

// Guards against requests that fail, one after the other, because the endpoint
// with the fewest requests is one to which there can be no connection.
test.each(["10.0.0.1:99999", "10.0.0.1:80/x", "nowhere"])(
  "requests go to another endpoint than the one at %s, which goes into backoff",
  async (address) => {
    const endpoint = await startTestEndpoint(respondCompletely);
    const gateway = await startTestGateway({
      endpoints: [{ address }, { address: endpoint.address }],
      route: { kind: "non_idempotent", isResumable: false },
    });
    closers.push(() => gateway.close(), endpoint.close);
    expect((await call(gateway.url)).status).toBe(200);
    expect(gateway.context.health.isInBackoff("e0")).toBe(true);
    expect(
      gateway.context.loads.read(address, { usualPromptTokens: 0, urgency: 0 })
        .requests,
    ).toBe(0);
  },
);

// Guards against connections to port 0: a URL omits the default port.
test("connections to an endpoint at port 80 are opened at that port", async () => {
  const connections = createEndpointConnections(createRegistry());
  closers.push(() => connections.close());
  const options = { needsNewConnection: true };
  const { client } = connections
    .acquire("127.0.0.9:80", options)
    ._unsafeUnwrap();
  closers.push(() => client.destroy());
  const error = await client
    .request({ method: "GET", path: "/" })
    .catch((failure: unknown) => failure);
  expect(error).toMatchObject({ code: "ECONNREFUSED", port: 80 });
});
