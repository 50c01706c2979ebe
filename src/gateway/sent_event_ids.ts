/**
 * Ids of the events that a caller has got, so that a resumed stream is joined
 * only where it continues them.
 */

export interface SentEventIds {
  /** The event after which a stream is resumed; undefined without ids. */
  lastId(): string | undefined;
  append(ids: readonly string[]): void;
  isContinuedBy(firstId: string | undefined): boolean;
}

/** With `resumedAfterId`, the caller already has the events up to that one. */
export function createSentEventIds(
  resumedAfterId: string | undefined,
): SentEventIds {
  let lastId = resumedAfterId;
  let steps = 0;
  let areConsecutive = true;
  return {
    lastId: () => lastId,
    append(ids) {
      ids.forEach((id) => {
        if (lastId !== undefined) {
          steps += 1;
          areConsecutive &&= Number(id) === Number(lastId) + 1;
        }
        lastId = id;
      });
    },
    isContinuedBy(firstId) {
      if (firstId === undefined || lastId === undefined) return false;
      const step = Number(firstId) - Number(lastId);
      // Ids that are no numbers have no known order.
      if (Number.isNaN(step)) return firstId !== lastId;
      return steps > 0 && areConsecutive ? step === 1 : step > 0;
    },
  };
}
