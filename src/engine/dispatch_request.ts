/**
 * Sends one request over a connection pool and yields the response body chunk
 * by chunk. A Node.js stream between the connection and the reader would cost
 * more per token than all other work of the agent.
 */

import type { Dispatcher } from "undici";
import { isFinalStatus, isInformationalStatus } from "../http/mod.ts";

/** Above this size, the connection is paused until the reader catches up. */
const MAX_BUFFERED_BYTES = 64 * 1024;

export type DispatchRequestOptions = Dispatcher.DispatchOptions & {
  readonly signal: AbortSignal;
  /** Called just before the first byte is written; false aborts the request. */
  readonly onStart: () => boolean;
};

export interface DispatchedResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Iteration throws if the connection breaks. */
  readonly body: AsyncIterable<Uint8Array>;
}

type Chunk = IteratorResult<Uint8Array, undefined>;

interface PendingRead {
  readonly resolve: (chunk: Chunk) => void;
  readonly reject: (error: Error) => void;
}

const END: Chunk = { done: true, value: undefined };

/** Rejects if there is no response; `onStart` shows whether it was written. */
export function dispatchRequest(
  target: Dispatcher,
  { signal, onStart, ...options }: DispatchRequestOptions,
): Promise<DispatchedResponse> {
  return new Promise((resolve, reject) => {
    const chunks: Uint8Array[] = [];
    let bufferedBytes = 0;
    let controller: Dispatcher.DispatchController | undefined;
    let isFinished = false;
    let failure: Error | undefined;
    let pendingRead: PendingRead | undefined;

    function onAbort() {
      controller?.abort(signal.reason as Error);
    }

    function settle(error?: Error) {
      if (isFinished) return;
      isFinished = true;
      failure = error;
      signal.removeEventListener("abort", onAbort);
      const reader = pendingRead;
      pendingRead = undefined;
      if (error === undefined) return reader?.resolve(END);
      reader?.reject(error);
      // No effect once the response head has arrived.
      reject(error);
    }

    function next(): Promise<Chunk> {
      const value = chunks.shift();
      if (value !== undefined) {
        bufferedBytes -= value.length;
        if (bufferedBytes === 0 && controller?.paused) controller.resume();
        return Promise.resolve({ done: false, value });
      }
      if (failure !== undefined) return Promise.reject(failure);
      if (isFinished) return Promise.resolve(END);
      return new Promise((onChunk, onError) => {
        pendingRead = { resolve: onChunk, reject: onError };
      });
    }

    const iterator: AsyncIterator<Uint8Array, undefined> = {
      next,
      return() {
        if (!isFinished)
          controller?.abort(new Error("Response body was not read to its end"));
        return Promise.resolve(END);
      },
    };

    signal.addEventListener("abort", onAbort);
    target.dispatch(options, {
      onRequestStart(started) {
        controller = started;
        if (!onStart()) {
          const error = Object.assign(
            new Error("The time to send the request has expired"),
            {
              code: "hand_off_expired",
            },
          );
          return started.abort(error);
        }
        if (signal.aborted) onAbort();
      },
      onResponseStart(started, statusCode, headers) {
        if (isInformationalStatus(statusCode)) return;
        if (!isFinalStatus(statusCode)) {
          const error = Object.assign(
            new Error("The status of the response is invalid"),
            { code: "invalid_status" },
          );
          settle(error);
          return started.abort(error);
        }
        const body = { [Symbol.asyncIterator]: () => iterator };
        resolve({ statusCode, headers, body });
      },
      onResponseData(started, value) {
        if (pendingRead !== undefined) {
          const reader = pendingRead;
          pendingRead = undefined;
          return reader.resolve({ done: false, value });
        }
        chunks.push(value);
        bufferedBytes += value.length;
        if (bufferedBytes > MAX_BUFFERED_BYTES) started.pause();
      },
      onResponseEnd: () => settle(),
      onResponseError: (_started, error) => settle(error),
    });
  });
}
