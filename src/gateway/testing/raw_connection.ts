/** A connection of a caller that sends requests as bytes. */

import { connect } from "node:net";
import type { Socket } from "node:net";

export interface RawConnection {
  readonly socket: Socket;
  /** All bytes received so far. */
  received(): string;
  /** Resolves when the connection is closed. */
  readonly closed: Promise<void>;
}

export async function openRawConnection(url: string): Promise<RawConnection> {
  const { hostname, port } = new URL(url);
  const socket = connect({ host: hostname, port: Number(port) });
  let received = "";
  socket.on("data", (bytes: Buffer) => {
    received += bytes.toString("latin1");
  });
  socket.on("error", () => undefined);
  const closed = new Promise<void>((resolve) => {
    socket.once("close", () => resolve());
  });
  await new Promise<void>((resolve) => socket.once("connect", resolve));
  return { socket, received: () => received, closed };
}

/** A request to the test route with the header names used in tests. */
export function createRawRequest(body: string): string {
  return (
    "POST /a/1 HTTP/1.1\r\nhost: desk.example\r\nx-key: key-1\r\n" +
    `x-attempt: a1\r\ncontent-length: ${body.length}\r\n\r\n${body}`
  );
}
