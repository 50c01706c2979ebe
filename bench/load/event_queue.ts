/**
 * Simulated time: events run in the order of their times, and events of equal
 * times in the order in which they were scheduled, so that runs are repeatable.
 */

export interface EventQueue {
  readonly nowMs: () => number;
  schedule(atMs: number, handle: () => void): void;
  /** Runs all events, including those that are scheduled meanwhile. */
  run(): void;
}

interface TimedEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly handle: () => void;
}

export function createEventQueue(startMs = 0): EventQueue {
  /** Binary heap; the earliest event is first. */
  const heap: TimedEvent[] = [];
  let nowMs = startMs;
  let sequence = 0;

  function push(event: TimedEvent) {
    let index = heap.length;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex]!;
      if (isEarlier(parent, event)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = event;
  }

  function pop(): TimedEvent | undefined {
    const first = heap[0];
    const last = heap.pop();
    if (heap.length === 0 || last === undefined) return first;
    let index = 0;
    for (;;) {
      let childIndex = 2 * index + 1;
      if (childIndex >= heap.length) break;
      const right = heap[childIndex + 1];
      if (right !== undefined && isEarlier(right, heap[childIndex]!)) {
        childIndex += 1;
      }
      const child = heap[childIndex]!;
      if (isEarlier(last, child)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
    return first;
  }

  return {
    nowMs: () => nowMs,
    schedule(atMs, handle) {
      sequence += 1;
      push({ atMs: Math.max(nowMs, atMs), sequence, handle });
    },
    run() {
      for (let event = pop(); event !== undefined; event = pop()) {
        nowMs = event.atMs;
        event.handle();
      }
    },
  };
}

function isEarlier(a: TimedEvent, b: TimedEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}
