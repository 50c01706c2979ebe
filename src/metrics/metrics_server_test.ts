import { networkInterfaces } from "node:os";
import { expect, test } from "@jest/globals";
import { findFreePorts } from "../../stand_ins/free_ports.ts";
import { createRegistry, startMetricsServer } from "./mod.ts";

const hasIpv6 = Object.values(networkInterfaces())
  .flat()
  .some((address) => address?.address === "::1");

// Guards against a process that does not start with an IPv6 metrics address.
test.each(["127.0.0.1", ...(hasIpv6 ? ["[::1]"] : [])])(
  "serves metrics at %s",
  async (host) => {
    const [port] = await findFreePorts(1);
    const server = await startMetricsServer(
      `${host}:${port}`,
      createRegistry(),
    );
    const response = await fetch(`http://${host}:${port}/metrics`);
    expect(response.status).toBe(200);
    server.close();
  },
);
