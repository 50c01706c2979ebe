/**
 * A link to a worker that can be cut. During the cut both directions hold what
 * is sent, also the end of a channel, and deliver it afterwards, as TCP does.
 * While the worker is down and the link isn't cut, the address refuses channels.
 */

import { connect, createServer } from "node:net";

export async function startRelay() {
  const channels = new Set();
  let isCut = false;
  let isUp = false;
  let workerPort = 0;
  let port = 0;
  let server;

  /** Passes bytes and the end on, at once or after the cut. */
  function createDirection(target) {
    const held = [];
    const pass = (bytes) => {
      if (target.destroyed) return;
      if (bytes === undefined) target.end();
      else target.write(bytes);
    };
    return {
      push(bytes) {
        if (isCut) held.push(bytes);
        else pass(bytes);
      },
      flush: () => held.splice(0).forEach(pass),
    };
  }

  function open(near) {
    const far = connect({ host: "127.0.0.1", port: workerPort });
    const toWorker = createDirection(far);
    const toCaller = createDirection(near);
    const channel = {
      flush() {
        toWorker.flush();
        toCaller.flush();
      },
      destroy() {
        near.destroy();
        far.destroy();
      },
    };
    channels.add(channel);
    for (const [socket, direction] of [
      [near, toWorker],
      [far, toCaller],
    ]) {
      socket.on("data", (bytes) => direction.push(bytes));
      socket.on("end", () => direction.push(undefined));
      socket.on("error", () => direction.push(undefined));
    }
    near.on("close", () => channels.delete(channel));
  }

  /** Channels that are opened during the cut wait for its end. */
  const waiting = [];

  async function listen() {
    if (server !== undefined) return;
    server = createServer({ allowHalfOpen: true }, (near) => {
      near.on("error", () => undefined);
      if (isCut) waiting.push(near);
      else open(near);
    });
    await new Promise((resolve) => server.listen(port, "127.0.0.1", resolve));
    port = server.address().port;
  }

  function refuse() {
    server?.close();
    server = undefined;
  }

  return {
    port: () => port,
    async onWorkerUp(atPort) {
      workerPort = atPort;
      isUp = true;
      await listen();
    },
    /** The kernel has closed the worker's channels. */
    onWorkerDown() {
      isUp = false;
      if (!isCut) refuse();
    },
    cut() {
      isCut = true;
    },
    heal() {
      isCut = false;
      if (!isUp) refuse();
      channels.forEach((channel) => channel.flush());
      waiting.splice(0).forEach((near) => (isUp ? open(near) : near.destroy()));
    },
    close() {
      refuse();
      channels.forEach((channel) => channel.destroy());
      waiting.forEach((near) => near.destroy());
    },
  };
}
