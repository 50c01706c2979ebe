#!/usr/bin/env node
import { readFile, writeFile } from "node:fs/promises";
import { fetchJson, runCommand } from "../src/cli/mod.ts";

// The reader of the output may end first, as in "report | head".
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
  if (error.code !== "EPIPE") throw error;
  process.exit();
});
process.exitCode = await runCommand(process.argv.slice(2), {
  write: (text) => void process.stdout.write(text),
  writeError: (text) => void process.stderr.write(text),
  readFile: (file) => readFile(file, "utf8"),
  writeFile: (file, text) => writeFile(file, text),
  fetchJson,
  nowMs: Date.now,
});
