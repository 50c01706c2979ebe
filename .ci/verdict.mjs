// Reads Jest's JSON result. Failed tests that KNOWN-RED.txt lists on a line
// "test: FULL NAME" are printed and do not fail the run; any other failure does.
import { existsSync, readFileSync } from "node:fs";

const [resultsFile, knownFile] = process.argv.slice(2);
const results = JSON.parse(readFileSync(resultsFile, "utf8"));
const known = new Set(
  existsSync(knownFile)
    ? readFileSync(knownFile, "utf8")
        .split("\n")
        .filter((line) => line.startsWith("test: "))
        .map((line) => line.slice("test: ".length).trim())
    : [],
);
const failed = results.testResults
  .flatMap((suite) => suite.assertionResults)
  .filter((test) => test.status === "failed")
  .map((test) => test.fullName);
const knownFailed = failed.filter((name) => known.has(name));
const unexpected = failed.filter((name) => !known.has(name));

knownFailed.forEach((name) => console.log(`known failure: ${name}`));
unexpected.forEach((name) => console.log(`failure: ${name}`));
const skipped = results.numPendingTests + knownFailed.length;
console.log(
  `${results.numPassedTests} passed, ${unexpected.length} failed` +
    (skipped > 0 ? `, ${skipped} skipped` : ""),
);
const broken = results.numRuntimeErrorTestSuites > 0;
process.exit(unexpected.length > 0 || broken ? 1 : 0);
