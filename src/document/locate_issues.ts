import type { Finding } from "./finding.ts";
import type { Issue } from "./issue.ts";
import { readYaml } from "./yaml_source.ts";

/** Adds the location in `text` to each issue; `text` must be valid YAML. */
export function locateIssues(
  text: string,
  {
    file,
    issues,
  }: { readonly file: string; readonly issues: readonly Issue[] },
): readonly Finding[] {
  return readYaml(text, { file }).match(
    ({ toFindings }) => toFindings(issues),
    (findings) => findings,
  );
}
