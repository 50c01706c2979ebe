/** Logs of a process in JSON, one line for each record. */

import bunyan from "bunyan";
import { createBoundedOutput } from "./bounded_output.ts";

export { createBoundedOutput } from "./bounded_output.ts";
export { createInvalidValues } from "./invalid_values.ts";
export type { InvalidValues } from "./invalid_values.ts";
export type { LogOutput, LogSink } from "./bounded_output.ts";

export type Logger = Pick<
  bunyan,
  "debug" | "info" | "warn" | "error" | "fatal"
>;

/** Logs to standard error. */
export function createLogger(program: string, host: string): Logger {
  return bunyan.createLogger({
    name: program,
    host,
    stream: process.stderr,
    level: "info",
  });
}

/** Logs to standard output, without blocking on a slow reader. */
export function createOutputLogger(program: string, host: string): Logger {
  const output = createBoundedOutput(process.stdout);
  process.once("exit", output.flush);
  return bunyan.createLogger({
    name: program,
    hostname: host,
    streams: [
      {
        stream: { write: output.write } as NodeJS.WritableStream,
        level: "info",
      },
    ],
  });
}
