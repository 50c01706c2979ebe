/** A condition variable: wakes all tasks that wait for a change. */

export interface ChangeSignal {
  /** Resolves on the next change or after `timeoutMs`. */
  wait(timeoutMs: number): Promise<void>;
  /** Wakes waiting tasks once for all changes within `delayMs` of the first. */
  notify(delayMs?: number): void;
}

export function createChangeSignal(): ChangeSignal {
  const waiters = new Set<() => void>();
  let timer: NodeJS.Timeout | undefined;
  let isFlushScheduled = false;

  function flush() {
    clearTimeout(timer);
    timer = undefined;
    isFlushScheduled = false;
    // Random order, so that no task always chooses its chunk first.
    const woken = [...waiters]
      .map((wake) => ({ wake, order: Math.random() }))
      .sort((a, b) => a.order - b.order);
    waiters.clear();
    woken.forEach(({ wake }) => wake());
  }

  return {
    wait(timeoutMs) {
      return new Promise((resolve) => {
        const timeout = setTimeout(finish, timeoutMs);
        function finish() {
          clearTimeout(timeout);
          waiters.delete(finish);
          resolve();
        }
        waiters.add(finish);
      });
    },
    notify(delayMs = 0) {
      if (isFlushScheduled) return;
      if (delayMs > 0) {
        timer ??= setTimeout(flush, delayMs);
        return;
      }
      isFlushScheduled = true;
      setImmediate(flush);
    },
  };
}
