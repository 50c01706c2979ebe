/**
 * Registry of stream and notice handlers. A document or message that makes a
 * handler throw must not stop every process that receives it, so exceptions are
 * caught, counted and logged.
 */

import type { Logger } from "../logging/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { Notice, OpenHead, Peer, Stream } from "../wire/mod.ts";

export type StreamHandler = (peer: Peer, stream: Stream) => void;
export type NoticeHandler = (peer: Peer, notice: Notice) => void;

export interface Handlers {
  /** Calls a handler; false if it threw. */
  run(name: string, handle: () => void): boolean;
  onStream(kind: OpenHead["kind"], handler: StreamHandler): void;
  onNotice(topic: Notice["topic"], handler: NoticeHandler): void;
  dispatchStream(peer: Peer, stream: Stream): void;
  dispatchNotice(peer: Peer, notice: Notice): void;
}

export function createHandlers(registry: Registry, logger: Logger): Handlers {
  const streamHandlers = new Map<string, StreamHandler>();
  const noticeHandlers = new Map<string, NoticeHandler>();
  const failures = registry.counter(
    "handler_failures_total",
    "Handlers of peers, streams, notices and view changes that threw",
  );

  function run(name: string, handle: () => void): boolean {
    try {
      handle();
      return true;
    } catch (error) {
      failures.increment({ handler: name });
      logger.error({ err: error, handler: name }, "Handler failed");
      return false;
    }
  }

  return {
    run,
    onStream: (kind, handler) => void streamHandlers.set(kind, handler),
    onNotice: (topic, handler) => void noticeHandlers.set(topic, handler),
    dispatchStream(peer, stream) {
      const { kind } = stream.head;
      const handle = streamHandlers.get(kind);
      if (handle === undefined) return stream.reset("no_handler");
      const isSuccessful = run(kind, () => handle(peer, stream));
      if (!isSuccessful) stream.reset("internal_error");
    },
    dispatchNotice(peer, notice) {
      const handle = noticeHandlers.get(notice.topic);
      run(notice.topic, () => handle?.(peer, notice));
    },
  };
}
