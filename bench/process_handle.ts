/** Starts a child process and reads its processor time and memory. */

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { readFileSync } from "node:fs";

/** Clock ticks per second in `/proc/PID/stat`. */
const TICKS_PER_S = 100;

export interface Usage {
  readonly cpuS: number;
  readonly rssBytes: number;
  readonly peakRssBytes: number;
}

export interface ProcessHandle {
  readonly name: string;
  readonly pid: number;
  /** First line of standard output; rejects if the process exits before. */
  readonly firstLine: Promise<string>;
  readonly exited: Promise<number | null>;
  /** End of standard error, to explain an early exit. */
  errorTail(): string;
  signal(signal: NodeJS.Signals): void;
  usage(): Usage;
  /** Sends SIGTERM, then SIGKILL after `graceMs`. */
  stop(graceMs?: number): Promise<number | null>;
}

export function startProcess(
  name: string,
  args: readonly string[],
): ProcessHandle {
  const child: ChildProcess = spawn(process.execPath, args, {
    stdio: ["pipe", "pipe", "pipe"],
  });
  let errors = "";
  let output = "";
  child.stderr!.on("data", (bytes: Buffer) => {
    errors = (errors + bytes.toString()).slice(-8_000);
  });
  const exited = new Promise<number | null>((resolve) =>
    child.once("exit", (code) => resolve(code)),
  );
  const firstLine = new Promise<string>((resolve, reject) => {
    child.stdout!.on("data", (bytes: Buffer) => {
      output = (output + bytes.toString()).slice(-8_000);
      if (output.includes("\n")) resolve(output.split("\n")[0]!);
    });
    void exited.then((code) =>
      reject(new Error(`${name} exited with ${code}: ${errors}`)),
    );
  });
  firstLine.catch(() => undefined);

  return {
    name,
    pid: child.pid!,
    firstLine,
    exited,
    errorTail: () => errors,
    signal: (signal) => void child.kill(signal),
    usage: () => readUsage(child.pid!),
    async stop(graceMs = 3_000) {
      child.stdin!.end();
      child.kill("SIGTERM");
      const timer = setTimeout(() => child.kill("SIGKILL"), graceMs);
      const code = await exited;
      clearTimeout(timer);
      return code;
    },
  };
}

export function readUsage(pid: number): Usage {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const rss = /VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? "0";
    const peak = /VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? "0";
    return {
      cpuS: ticks / TICKS_PER_S,
      rssBytes: Number(rss) * 1024,
      peakRssBytes: Number(peak) * 1024,
    };
  } catch {
    return { cpuS: 0, rssBytes: 0, peakRssBytes: 0 };
  }
}
