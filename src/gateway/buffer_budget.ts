/**
 * Bounds the bytes that this process holds for all calls together. Single
 * bodies are bounded as well, but many of them at once could exceed the memory
 * of the host. Above the limit the largest holder is ended: a sender of endless
 * bytes soon is the largest one, and small bodies are kept.
 */

import type { Registry } from "../metrics/mod.ts";

export interface BufferShare {
  /**
   * Sets the number of bytes held. Can end this or another holder before it
   * returns.
   */
  hold(sizeBytes: number): void;
  /** The holder is not ended any more to free bytes. */
  keep(): void;
  close(): void;
}

export interface BufferBudget {
  /** `end` is called when the bytes must be freed; the share is closed then. */
  open(end: () => void): BufferShare;
  heldBytes(): number;
}

interface Holder {
  readonly end: () => void;
  sizeBytes: number;
  isKept: boolean;
}

export function createBufferBudget(
  limitBytes: number,
  {
    registry,
    purpose,
  }: { readonly registry: Registry; readonly purpose: string },
): BufferBudget {
  const holders = new Set<Holder>();
  let heldBytes = 0;
  const ended = registry.counter(
    "ended_buffers_total",
    "Bodies dropped because all together were too large, by purpose",
  );

  function close(holder: Holder) {
    if (!holders.delete(holder)) return;
    heldBytes -= holder.sizeBytes;
  }

  /** Undefined if no holder may be ended. */
  function findLargest(): Holder | undefined {
    return [...holders]
      .filter(({ isKept }) => !isKept)
      .reduce<Holder | undefined>(
        (largest, holder) =>
          holder.sizeBytes > (largest?.sizeBytes ?? 0) ? holder : largest,
        undefined,
      );
  }

  function freeBytes() {
    while (heldBytes > limitBytes) {
      const largest = findLargest();
      if (largest === undefined) return;
      close(largest);
      ended.increment({ purpose });
      largest.end();
    }
  }

  return {
    heldBytes: () => heldBytes,
    open(end) {
      const holder: Holder = { end, sizeBytes: 0, isKept: false };
      holders.add(holder);
      return {
        hold(sizeBytes) {
          if (!holders.has(holder)) return;
          heldBytes += sizeBytes - holder.sizeBytes;
          holder.sizeBytes = sizeBytes;
          if (heldBytes > limitBytes) freeBytes();
        },
        keep: () => void (holder.isKept = true),
        close: () => close(holder),
      };
    },
  };
}
