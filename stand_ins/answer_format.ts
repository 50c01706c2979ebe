/** Answers of the stand-in engine in the form of the OpenAI interface. */

export interface FormattedRun {
  readonly requestId: string;
  readonly isChat: boolean;
  readonly text: string;
}

export function formatChunk(
  run: Pick<FormattedRun, "requestId" | "isChat">,
  text: string,
  finish: string | null,
): string {
  const choice = run.isChat
    ? { index: 0, delta: { content: text }, finish_reason: finish }
    : { index: 0, text, finish_reason: finish };
  return `data: ${JSON.stringify({ id: run.requestId, choices: [choice] })}\n\n`;
}

export function formatWhole(run: FormattedRun) {
  const choice = run.isChat
    ? { message: { role: "assistant", content: run.text } }
    : { text: run.text };
  return {
    id: run.requestId,
    choices: [{ index: 0, ...choice, finish_reason: "stop" }],
  };
}
