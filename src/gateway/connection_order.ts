/**
 * Order of the requests of each caller's connection. A caller may send the next
 * request before it has the response to the last one. That response can end
 * the connection, so the next request is not sent to an endpoint before it is
 * complete.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

export interface ConnectionOrder {
  /**
   * Resolves when the responses ahead on the connection are complete or the
   * connection is closed.
   */
  enter(exchange: Exchange): Promise<void>;
  /** True if no later request has been read from the connection. */
  isLast(response: ServerResponse): boolean;
}

export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Resolves when the response is complete or the connection is closed. */
  readonly ended: Promise<void>;
}

export function createConnectionOrder(): ConnectionOrder {
  const last = new WeakMap<Socket, Exchange>();
  return {
    enter(exchange) {
      const { socket } = exchange.request;
      const ahead = last.get(socket);
      last.set(socket, exchange);
      if (ahead === undefined) return Promise.resolve();
      // The response to this request closes the connection instead.
      if (!ahead.response.headersSent)
        ahead.response.removeHeader("connection");
      return ahead.ended;
    },
    isLast: (response) => last.get(response.req.socket)?.response === response,
  };
}
