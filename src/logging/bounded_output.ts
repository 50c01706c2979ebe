/**
 * Writes log lines to standard output without blocking the process. Lines of
 * one iteration of the event loop are written together. If the reader falls
 * behind, lines beyond a limit are dropped, and their number is logged once
 * there is room again.
 */

const MAX_PENDING_BYTES = 1024 * 1024;

export interface LogOutput {
  write(line: string): void;
  /** Writes the lines that wait for the end of the iteration. */
  flush(): void;
}

export interface LogSink {
  /** Calls `done` once the text has been written. */
  write(text: string, done: () => void): unknown;
}

export function createBoundedOutput(
  sink: LogSink,
  maxPendingBytes = MAX_PENDING_BYTES,
): LogOutput {
  let pendingBytes = 0;
  let droppedLines = 0;
  let lines: string[] = [];

  function flush() {
    if (lines.length === 0) return;
    const text = lines.join("");
    lines = [];
    sink.write(text, () => {
      pendingBytes -= text.length;
    });
  }

  function add(line: string) {
    pendingBytes += line.length;
    if (lines.length === 0) setImmediate(flush);
    lines.push(line);
  }

  return {
    write(line) {
      if (pendingBytes + line.length > maxPendingBytes) {
        droppedLines += 1;
        return;
      }
      if (droppedLines > 0) {
        const notice = { msg: "log lines dropped", droppedLines };
        droppedLines = 0;
        add(`${JSON.stringify(notice)}\n`);
      }
      add(line);
    },
    flush,
  };
}
