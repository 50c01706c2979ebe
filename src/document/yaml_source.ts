/**
 * Reads YAML text into a plain value and keeps the position of each part. Text
 * that could take unbounded time or memory to read is rejected.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import {
  isAlias,
  isMap,
  isScalar,
  isSeq,
  LineCounter,
  parseDocument as parseYamlDocument,
} from "yaml";
import type { Document, Node, ParsedNode } from "yaml";
import type { Finding } from "./finding.ts";
import { formatPath } from "./issue.ts";
import type { Issue } from "./issue.ts";

/** The configuration service stores values of at most 1 MB. */
export const MAX_SOURCE_BYTES = 1_000_000;
/** The deepest valid document has 6 levels. */
const MAX_DEPTH = 16;
/**
 * Limit on the nodes that aliases add: a short text of nested aliases can
 * expand to any size.
 */
const MAX_ALIASED_NODES = 10_000;
/**
 * Limit on keys and values, which bounds the time of the checks. 1 MB of client
 * accounts has about 65,000.
 */
const MAX_NODES = 100_000;
export const MAX_FINDINGS = 200;

export interface YamlSource {
  readonly value: unknown;
  toFindings(issues: readonly Issue[]): readonly Finding[];
}

export interface SourceOptions {
  readonly file: string;
}

export function readYaml(
  text: string,
  { file }: SourceOptions,
): Result<YamlSource, readonly Finding[]> {
  const sizeBytes = Buffer.byteLength(text);
  if (sizeBytes > MAX_SOURCE_BYTES) {
    return err([
      createFinding(file, {
        message: `The text has ${sizeBytes} bytes, more than ${MAX_SOURCE_BYTES}`,
        fix: "Remove versions, accounts or comments that are no longer used",
      }),
    ]);
  }
  // The library takes seconds to parse a text with many directives.
  const directive = /^%/m.exec(text);
  if (directive !== null) {
    return err([
      {
        ...createFinding(file, {
          message: "Directives are not supported",
          fix: "Remove the line that begins with %",
        }),
        line: countLines(text.slice(0, directive.index)),
      },
    ]);
  }
  const lineCounter = new LineCounter();
  try {
    return parseNodes(text, { file, lineCounter });
  } catch (error) {
    if (!(error instanceof RangeError)) throw error;
    return err([createDepthFinding(file)]);
  }
}

function parseNodes(
  text: string,
  { file, lineCounter }: { file: string; lineCounter: LineCounter },
): Result<YamlSource, readonly Finding[]> {
  const document = parseYamlDocument(text, {
    lineCounter,
    prettyErrors: false,
    // The library compares every pair of keys; `inspectNodes` finds duplicates.
    uniqueKeys: false,
    logLevel: "error",
  });
  const locateOffset = (offset: number) => {
    const { line, col } = lineCounter.linePos(offset);
    return { line: Math.max(1, line), column: Math.max(1, col) };
  };
  const problems = [...document.errors, ...document.warnings];
  if (problems.length > 0) {
    return err(
      limitFindings(
        problems.slice(0, MAX_FINDINGS + 1).map((problem) => ({
          ...(isDepthError(problem.message)
            ? createDepthFinding(file)
            : createFinding(file, {
                message: problem.message,
                fix: chooseSyntaxFix(problem.code),
              })),
          ...locateOffset(problem.pos[0]),
        })),
      ),
    );
  }
  const nodeIssues = inspectNodes(document.contents);
  const toFindings = (issues: readonly Issue[]) =>
    limitFindings(
      issues.slice(0, MAX_FINDINGS + 1).map((issue) => ({
        file,
        ...locateOffset(findOffset(document, issue)),
        path: formatPath(issue.path),
        message: issue.message,
        fix: issue.fix,
      })),
    );
  if (nodeIssues.length > 0) return err(toFindings(nodeIssues));
  return ok({
    // `inspectNodes` has already limited the aliases.
    value: document.toJS({ maxAliasCount: -1 }) as unknown,
    toFindings,
  });
}

function createFinding(
  file: string,
  { message, fix }: { message: string; fix: string },
): Finding {
  return { file, line: 1, column: 1, path: "(document)", message, fix };
}

function createDepthFinding(file: string): Finding {
  return createFinding(file, {
    message: "The text is nested too deeply",
    fix: `Nest at most ${MAX_DEPTH} levels`,
  });
}

/** The library reports its own stack overflow as a syntax error. */
function isDepthError(message: string): boolean {
  return message.startsWith("Maximum call stack size");
}

function countLines(text: string): number {
  return text.split("\n").length;
}

function limitFindings(findings: readonly Finding[]): readonly Finding[] {
  const last = findings[MAX_FINDINGS];
  if (last === undefined) return findings;
  return [
    ...findings.slice(0, MAX_FINDINGS),
    {
      ...last,
      message: "Further findings from here on are left out",
      fix: "Correct the findings above first",
    },
  ];
}

function chooseSyntaxFix(code: string): string {
  if (code === "TAB_AS_INDENT") return "Indent with spaces";
  if (code === "MULTIPLE_DOCS") return "Keep one document and remove `---`";
  if (code === "TAG_RESOLVE_FAILED") return "Remove the tag";
  return "Correct the YAML syntax here";
}

/**
 * Finds problems that the parsed value hides: duplicate keys, aliases and
 * depth.
 */
function inspectNodes(root: ParsedNode | null): readonly Issue[] {
  const issues: Issue[] = [];
  const path: (string | number)[] = [];
  /**
   * Number of nodes in each anchored node; undefined while it is being read.
   */
  const anchors = new Map<string, number | undefined>();
  let aliasedNodes = 0;
  let nodes = 0;

  const report = (message: string, fix: string) =>
    issues.push({ path: [...path], at: "value", message, fix });

  const inspect = (node: Node | null | undefined): number => {
    if (nodes > MAX_NODES || issues.length > MAX_FINDINGS) return 1;
    nodes += 1;
    if (nodes > MAX_NODES) {
      report(`More than ${MAX_NODES} values`, "Remove unused values");
    }
    if (node === null || node === undefined) return 1;
    if (path.length > MAX_DEPTH) {
      report(
        "The text is nested too deeply",
        `Nest at most ${MAX_DEPTH} levels`,
      );
      return 1;
    }
    if (isAlias(node)) return inspectAlias(node.source);
    const anchor = isMap(node) || isSeq(node) ? node.anchor : undefined;
    if (anchor !== undefined) anchors.set(anchor, undefined);
    if (isScalar(node) && node.anchor !== undefined)
      anchors.set(node.anchor, 1);
    const size = inspectItems(node);
    if (anchor !== undefined) anchors.set(anchor, size);
    return size;
  };

  const inspectAlias = (name: string): number => {
    const size = anchors.get(name);
    if (!anchors.has(name)) {
      report(`Alias *${name} has no anchor`, `Write &${name} before it`);
    } else if (size === undefined) {
      report(`Alias *${name} refers to itself`, "Write the value out");
    }
    aliasedNodes += size ?? 1;
    if (aliasedNodes > MAX_ALIASED_NODES) {
      report(
        `Aliases expand to more than ${MAX_ALIASED_NODES} values`,
        "Write the values out",
      );
    }
    return size ?? 1;
  };

  const inspectItems = (node: Node): number => {
    if (isSeq(node)) {
      return node.items.reduce<number>((sum, item, index) => {
        path.push(index);
        const size = inspect(item as Node | null);
        path.pop();
        return sum + size;
      }, 1);
    }
    if (!isMap(node)) return 1;
    const keys = new Set<string>();
    return node.items.reduce((sum, { key, value }) => {
      if (!isScalar(key)) {
        report("A key is not a scalar", "Write the key as a string");
        return sum + 1;
      }
      const name = String(key.value);
      nodes += 1;
      path.push(name);
      if (keys.has(name)) {
        report(`Duplicate key ${JSON.stringify(name)}`, "Remove one");
      }
      keys.add(name);
      const size = inspect(value as Node | null);
      path.pop();
      return sum + size + 1;
    }, 1);
  };

  inspect(root);
  return issues;
}

/** Offset of the issue's node, or of its closest existing ancestor. */
function findOffset(document: Document.Parsed, issue: Issue): number {
  const { path, at } = issue;
  let node: Node | null | undefined = document.contents;
  let offset = node?.range?.[0] ?? 0;
  for (const [index, part] of path.entries()) {
    if (isAlias(node)) node = node.resolve(document);
    if (isMap(node)) {
      // The last one, so that a duplicate key is reported where it is repeated.
      const pair: { key: unknown; value: unknown } | undefined =
        node.items.findLast(
          ({ key }) => isScalar(key) && String(key.value) === part,
        );
      if (pair === undefined) return offset;
      const key = pair.key as Node;
      offset = key.range?.[0] ?? offset;
      node = pair.value as Node | null;
      if (at === "key" && index === path.length - 1) return offset;
    } else if (isSeq(node) && typeof part === "number") {
      node = node.items[part] as Node | undefined;
    } else {
      return offset;
    }
    offset = node?.range?.[0] ?? offset;
  }
  return offset;
}
