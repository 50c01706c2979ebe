/** Test endpoint that writes exact bytes to its connections. */

import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

export interface RawRequest {
  readonly socket: Socket;
  /** Number of earlier requests on the same connection. */
  readonly earlierRequests: number;
  /** Head and body as received. */
  readonly text: string;
}

export interface RawEndpoint {
  readonly address: string;
  readonly requests: readonly RawRequest[];
  close(): void;
}

export async function startRawEndpoint(
  handleRequest: (request: RawRequest) => void,
): Promise<RawEndpoint> {
  const requests: RawRequest[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    let received = "";
    let earlierRequests = 0;
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", (bytes: Buffer) => {
      received += bytes.toString("latin1");
      const length = findRequestLength(received);
      if (length === undefined) return;
      const text = received.slice(0, length);
      received = received.slice(length);
      const request = { socket, earlierRequests, text };
      earlierRequests += 1;
      requests.push(request);
      handleRequest(request);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    requests,
    close() {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** Undefined while the request is incomplete. */
function findRequestLength(text: string): number | undefined {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return undefined;
  const bodyLength = /\r\ncontent-length: *(\d+)/i.exec(text)?.[1] ?? "0";
  const length = headEnd + 4 + Number(bodyLength);
  return text.length < length ? undefined : length;
}
