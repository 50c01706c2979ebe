/**
 * Server-sent events of a language response: finds event boundaries in a byte
 * stream, and reads from the events that were sent how far the response got.
 */

export const DONE_EVENT = Buffer.from("data: [DONE]\n\n");
const DONE_LINES = ["data: [DONE]", "data:[DONE]"] as const;
const LF = 10;
const CR = 13;
const CLOSING_BRACKET = "]".charCodeAt(0);

/** Length of the final `[DONE]` event; 0 if there is none. */
export function findDoneEventLength(bytes: Buffer): number {
  // Most events end in "}\n\n", so one comparison is enough for most calls.
  const last = bytes.length - 1;
  const bracketAt = bytes[last - 1] === CR ? last - 4 : last - 2;
  if (bytes[bracketAt] !== CLOSING_BRACKET) return 0;
  // The space after the colon is optional.
  const line = DONE_LINES.find((text) => isLineAt(bytes, bracketAt, text));
  return line === undefined ? 0 : bytes.length - (bracketAt + 1 - line.length);
}

/** True if `bytes` has this line with its last character at `at`. */
function isLineAt(bytes: Buffer, at: number, line: string): boolean {
  const start = at + 1 - line.length;
  if (start < 0 || (start > 0 && bytes[start - 1] !== LF)) return false;
  return bytes.toString("latin1", start, at + 1) === line;
}

export interface StreamProgress {
  /** Id of the first completion, which later events must repeat. */
  readonly id: string | undefined;
  readonly created: number | undefined;
  readonly text: string;
  readonly tokens: number;
  /** True if the last token has been sent. */
  readonly isFinished: boolean;
  /** False if the response has several choices or calls a tool. */
  readonly isResumable: boolean;
}

/** True if an engine reports an error within its stream. */
export function containsErrorEvent(events: Buffer): boolean {
  return splitEvents(events).some(
    (event) =>
      /^event: ?error$/m.test(event) || Boolean(parseChunk(event)?.error),
  );
}

interface Choice {
  readonly index?: number;
  readonly text?: string;
  readonly delta?: Readonly<Record<string, unknown>>;
  readonly finish_reason?: string | null;
}

interface Chunk {
  readonly id?: string;
  readonly created?: number;
  readonly choices?: readonly Choice[];
  readonly error?: unknown;
}

/** Reads text and token count from events that were forwarded. */
export function readStreamProgress(events: Buffer): StreamProgress {
  const chunks = splitEvents(events).map(parseChunk);
  const choices = chunks.flatMap((chunk) => chunk?.choices ?? []);
  const texts = choices.map(readChoiceText).filter((text) => text !== "");
  return {
    id: chunks.find((chunk) => chunk?.id !== undefined)?.id,
    created: chunks.find((chunk) => chunk?.created !== undefined)?.created,
    text: texts.join(""),
    tokens: texts.length,
    isFinished: choices.some((choice) => (choice.finish_reason ?? "") !== ""),
    isResumable: choices.every(isPlainText),
  };
}

/**
 * Sets `id` and `created` of the first completion in the events of a continued
 * response, and drops events that only open a message.
 */
export function rewriteContinuedEvents(
  events: Buffer,
  progress: StreamProgress,
): Buffer {
  const rewritten = splitEvents(events).map((event) => {
    const chunk = parseChunk(event);
    if (chunk === undefined) return event + "\n\n";
    const choices = chunk.choices?.map(dropRole);
    const isOpening =
      choices !== undefined &&
      choices.length > 0 &&
      choices.every(isEmptyChoice) &&
      !("usage" in chunk && chunk.usage);
    if (isOpening) return "";
    const identity = {
      ...(progress.id !== undefined && { id: progress.id }),
      ...(progress.created !== undefined && { created: progress.created }),
    };
    const next = { ...chunk, ...identity, ...(choices && { choices }) };
    return `data: ${JSON.stringify(next)}\n\n`;
  });
  return Buffer.from(rewritten.join(""));
}

function splitEvents(events: Buffer): readonly string[] {
  return events
    .toString("utf8")
    .replaceAll("\r\n", "\n")
    .split("\n\n")
    .filter((event) => event !== "");
}

function parseChunk(event: string): Chunk | undefined {
  const data = event
    .split("\n")
    .filter((line) => line.startsWith("data:"))
    .map((line) => line.slice("data:".length).trimStart())
    .join("\n");
  if (!data.startsWith("{")) return undefined;
  try {
    return JSON.parse(data) as Chunk;
  } catch {
    return undefined;
  }
}

function readChoiceText({ text, delta }: Choice): string {
  const content = text ?? delta?.["content"];
  return typeof content === "string" ? content : "";
}

function isPlainText({ index, delta }: Choice): boolean {
  const isFirst = index === undefined || index === 0;
  return isFirst && delta?.["tool_calls"] === undefined;
}

function dropRole(choice: Choice): Choice {
  if (choice.delta === undefined) return choice;
  const { role: _, ...delta } = choice.delta;
  return { ...choice, delta };
}

function isEmptyChoice(choice: Choice): boolean {
  const isUnfinished = (choice.finish_reason ?? "") === "";
  const others = Object.keys(choice.delta ?? {}).filter(
    (name) => name !== "content",
  );
  return isUnfinished && readChoiceText(choice) === "" && others.length === 0;
}
