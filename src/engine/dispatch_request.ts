/**
 * One request over a connection pool, with the body of its answer read chunk
 * by chunk. A Node.js stream between the connection and the reader would cost
 * more for each token than all else that the agent does with it.
 */

import type { Dispatcher } from "undici";

/** A reader that is slower than this much makes the connection wait. */
const MAX_HELD_BYTES = 64 * 1024;

export type RequestOptions = Dispatcher.DispatchOptions & {
  readonly signal: AbortSignal;
  /** Asked just before the first byte is written; false stops the request. */
  readonly onStart: () => boolean;
};

export interface DispatchedAnswer {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Throws while iterated if the connection breaks. */
  readonly body: AsyncIterable<Uint8Array>;
}

type Chunk = IteratorResult<Uint8Array, undefined>;

interface Waiting {
  readonly resolve: (chunk: Chunk) => void;
  readonly reject: (error: Error) => void;
}

const END: Chunk = { done: true, value: undefined };

/** Rejects if there is no answer; then `onStart` tells if it was written. */
export function dispatchRequest(
  target: Dispatcher,
  { signal, onStart, ...options }: RequestOptions,
): Promise<DispatchedAnswer> {
  return new Promise((resolve, reject) => {
    const chunks: Uint8Array[] = [];
    let heldBytes = 0;
    let controller: Dispatcher.DispatchController | undefined;
    let isOver = false;
    let failure: Error | undefined;
    let waiting: Waiting | undefined;

    function onAbort() {
      controller?.abort(signal.reason as Error);
    }

    function settle(error?: Error) {
      if (isOver) return;
      isOver = true;
      failure = error;
      signal.removeEventListener("abort", onAbort);
      const reader = waiting;
      waiting = undefined;
      if (error === undefined) return reader?.resolve(END);
      reader?.reject(error);
      // Without effect once the head has arrived.
      reject(error);
    }

    function next(): Promise<Chunk> {
      const value = chunks.shift();
      if (value !== undefined) {
        heldBytes -= value.length;
        if (heldBytes === 0 && controller?.paused) controller.resume();
        return Promise.resolve({ done: false, value });
      }
      if (failure !== undefined) return Promise.reject(failure);
      if (isOver) return Promise.resolve(END);
      return new Promise((onChunk, onError) => {
        waiting = { resolve: onChunk, reject: onError };
      });
    }

    const iterator: AsyncIterator<Uint8Array, undefined> = {
      next,
      return() {
        if (!isOver) controller?.abort(new Error("Answer not read to its end"));
        return Promise.resolve(END);
      },
    };

    signal.addEventListener("abort", onAbort);
    target.dispatch(options, {
      onRequestStart(started) {
        controller = started;
        if (!onStart()) {
          const error = Object.assign(new Error("Hand-off came too late"), {
            code: "hand_off_expired",
          });
          return started.abort(error);
        }
        if (signal.aborted) onAbort();
      },
      onResponseStart(_started, statusCode, headers) {
        if (statusCode < 200) return;
        const body = { [Symbol.asyncIterator]: () => iterator };
        resolve({ statusCode, headers, body });
      },
      onResponseData(started, value) {
        if (waiting !== undefined) {
          const reader = waiting;
          waiting = undefined;
          return reader.resolve({ done: false, value });
        }
        chunks.push(value);
        heldBytes += value.length;
        if (heldBytes > MAX_HELD_BYTES) started.pause();
      },
      onResponseEnd: () => settle(),
      onResponseError: (_started, error) => settle(error),
    });
  });
}
