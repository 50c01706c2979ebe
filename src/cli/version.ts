import { existsSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** Version in the package.json of the closest parent directory. */
export function readVersion(): string {
  let directory = dirname(fileURLToPath(import.meta.url));
  while (!existsSync(join(directory, "package.json"))) {
    const parent = dirname(directory);
    if (parent === directory) return "unknown";
    directory = parent;
  }
  const text = readFileSync(join(directory, "package.json"), "utf8");
  return (JSON.parse(text) as { version: string }).version;
}
