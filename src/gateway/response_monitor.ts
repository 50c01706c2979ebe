/**
 * Watches the responses to callers. Counts and logs each one that ends before
 * it is complete, with the reason: the caller has left, this entry aborted it,
 * or it shared a connection with a response that ended the connection.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Logger } from "../logging/mod.ts";
import type { Registry } from "../metrics/mod.ts";

export interface ResponseMonitor {
  /**
   * Calls `onUnfinished` if the connection closes before the response is
   * complete. Resolves when the response has been sent or its connection is
   * closed.
   */
  watch(options: WatchOptions): Promise<void>;
  /** Notes why this entry is about to close the response's connection. */
  noteClose(request: IncomingMessage, reason: string): void;
}

export interface WatchOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly readId: () => string | undefined;
  readonly onUnfinished: () => void;
}

export function createResponseMonitor({
  registry,
  logger,
}: {
  readonly registry: Registry;
  readonly logger: Logger;
}): ResponseMonitor {
  const unanswered = registry.counter(
    "unanswered_requests_total",
    "Requests whose response was not completed, by reason",
  );
  const closeReasons = new WeakMap<Socket, string>();

  function findReason({ request, response }: WatchOptions): string {
    // A response has a socket once those ahead of it are complete.
    if (response.socket === null) return "behind_closed_response";
    return closeReasons.get(request.socket) ?? "caller_left";
  }

  function handleUnfinished(options: WatchOptions) {
    const { request, response, onUnfinished } = options;
    const reason = findReason(options);
    const id = options.readId();
    unanswered.increment({ reason });
    if (reason === "caller_left") logger.info({ id }, "the caller has left");
    else {
      const isRequestRead = request.complete;
      const hasStarted = response.headersSent;
      logger.warn(
        { id, reason, isRequestRead, hasStarted },
        "connection closed before the response was complete",
      );
    }
    onUnfinished();
  }

  return {
    watch(options) {
      const { request, response } = options;
      const { socket } = request;
      return new Promise((resolve) => {
        // A response that waits behind another one has no events of its own.
        function onClose() {
          handleUnfinished(options);
          resolve();
        }
        socket.once("close", onClose);
        response.once("finish", () => {
          socket.off("close", onClose);
          resolve();
        });
      });
    },
    noteClose: (request, reason) =>
      void closeReasons.set(request.socket, reason),
  };
}
