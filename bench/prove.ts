/**
 * Mutation test of the guarantees' tests: disables one mechanism at a time in a
 * copy of the sources and runs the test that must then fail. Exits with 0 if
 * each test passed with its mechanism and failed without it. An argument selects
 * the mechanisms whose name contains it.
 */

import { spawnSync } from "node:child_process";
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { MECHANISMS } from "./mechanisms.ts";
import type { Mechanism } from "./mechanisms.ts";

const TEST_TIMEOUT_MS = 120_000;
/** Longer, because these tests may wait until another fleet has ended. */
const PROCESS_TEST_TIMEOUT_MS = 400_000;
const PROCESS_TEST_FOLDER = "test/";
const COPIED_FOLDERS = [
  "src",
  "bin",
  "stand_ins",
  "bench",
  "test",
  "examples",
  "docs",
];
const COPIED_FILES = [
  "package.json",
  "jest.config.js",
  "tsconfig.json",
  "tsconfig.build.json",
];

type TestVerdict = "passed" | "failed" | "not_found" | "no_result";

function createCopy(): string {
  const folder = mkdtempSync(join(tmpdir(), "zinniaspur-prove-"));
  COPIED_FOLDERS.forEach((name) =>
    cpSync(name, join(folder, name), { recursive: true }),
  );
  COPIED_FILES.forEach((name) => cpSync(name, join(folder, name)));
  symlinkSync(
    join(process.cwd(), "node_modules"),
    join(folder, "node_modules"),
  );
  return folder;
}

/** Compiles the copy, because tests with real processes run compiled programs. */
function build(folder: string) {
  const compiler = join(folder, "node_modules", "typescript", "bin", "tsc");
  const args = [compiler, "-p", "tsconfig.build.json"];
  spawnSync(process.execPath, args, { cwd: folder });
}

function runTest(folder: string, { testFile, test }: Mechanism): TestVerdict {
  const isProcessTest = testFile.startsWith(PROCESS_TEST_FOLDER);
  if (isProcessTest) build(folder);
  const args = [
    "--experimental-vm-modules",
    join(folder, "node_modules", "jest", "bin", "jest.js"),
    "--rootDir",
    folder,
    testFile,
    ...(test === "" ? [] : ["--testNamePattern", test]),
    "--json",
  ];
  const run = spawnSync(process.execPath, args, {
    cwd: folder,
    encoding: "utf8",
    timeout: isProcessTest ? PROCESS_TEST_TIMEOUT_MS : TEST_TIMEOUT_MS,
    maxBuffer: 64 * 1024 * 1024,
  });
  const start = run.stdout.indexOf('{"num');
  // A run that was killed or did not start printed no result.
  if (start < 0) return "no_result";
  const result = JSON.parse(run.stdout.slice(start)) as {
    numPassedTests: number;
    numFailedTests: number;
    numRuntimeErrorTestSuites: number;
  };
  if (result.numFailedTests + result.numRuntimeErrorTestSuites > 0) {
    return "failed";
  }
  return result.numPassedTests === 0 ? "not_found" : "passed";
}

function verifyMechanism(folder: string, mechanism: Mechanism): boolean {
  const { guarantee, name, file, find, replace } = mechanism;
  const path = join(folder, file);
  const source = readFileSync(path, "utf8");
  if (!source.includes(find)) {
    console.log(`${guarantee}. ${name}: quoted source not found in ${file}`);
    return false;
  }
  const verdictWith = runTest(folder, mechanism);
  writeFileSync(
    path,
    source.replace(find, () => replace),
  );
  const verdictWithout = runTest(folder, mechanism);
  writeFileSync(path, source);
  const isVerified = verdictWith === "passed" && verdictWithout === "failed";
  console.log(
    `${guarantee}. ${name}: with it ${verdictWith}, without it ${verdictWithout}` +
      (isVerified ? "" : "  <-- not proved"),
  );
  return isVerified;
}

const folder = createCopy();
try {
  const [nameFilter = ""] = process.argv.slice(2);
  const results = MECHANISMS.filter(({ name }) =>
    name.includes(nameFilter),
  ).map((mechanism) => verifyMechanism(folder, mechanism));
  const proved = results.filter((isVerified) => isVerified).length;
  console.log(`${proved} of ${results.length} proved`);
  process.exitCode = proved === results.length ? 0 : 1;
} finally {
  rmSync(folder, { recursive: true, force: true });
}
