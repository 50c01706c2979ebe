#!/usr/bin/env node
import { readFile } from "node:fs/promises";
import { fetchJson, runCommand } from "../src/cli/mod.ts";

process.exitCode = await runCommand(process.argv.slice(2), {
  write: (text) => void process.stdout.write(text),
  writeError: (text) => void process.stderr.write(text),
  readFile: (file) => readFile(file, "utf8"),
  fetchJson,
  nowMs: Date.now,
});
