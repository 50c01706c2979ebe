/** JSON logs of a process, one line for each record, on standard error. */

import bunyan from "bunyan";

export type Logger = Pick<
  bunyan,
  "debug" | "info" | "warn" | "error" | "fatal"
>;

export function createLogger(program: string, host: string): Logger {
  return bunyan.createLogger({
    name: program,
    host,
    stream: process.stderr,
    level: "info",
  });
}
