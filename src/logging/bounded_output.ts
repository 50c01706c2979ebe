/**
 * Writes log lines to standard output without blocking the process. If the
 * reader falls behind, lines beyond a limit are dropped, and their number is
 * logged once there is room again.
 */

const MAX_PENDING_BYTES = 1024 * 1024;

export interface LogOutput {
  write(line: string): void;
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

  function writeToSink(line: string) {
    pendingBytes += line.length;
    sink.write(line, () => {
      pendingBytes -= line.length;
    });
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
        writeToSink(`${JSON.stringify(notice)}\n`);
      }
      writeToSink(line);
    },
  };
}
