/**
 * A link to the store whose open channels can go silent for good, without a
 * reset, while new ones work.
 */

import { connect, createServer } from "node:net";

export async function startSilentRelay(address) {
  const [host, port] = address.split(":");
  const channels = new Set();
  const silent = new Set();
  const server = createServer({ allowHalfOpen: true }, (near) => {
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    const channel = { near, far };
    channels.add(channel);
    const isOpen = () => channels.has(channel);
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      from.on("data", (bytes) => isOpen() && to.write(bytes));
      from.on("end", () => isOpen() && to.end());
      from.on("error", () => isOpen() && to.destroy());
    }
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Nothing passes on the open channels any more. */
    silence() {
      const count = channels.size;
      channels.forEach((channel) => silent.add(channel));
      channels.clear();
      return count;
    },
    close() {
      server.close();
      [...channels, ...silent].forEach(({ near, far }) => {
        near.destroy();
        far.destroy();
      });
    },
  };
}
