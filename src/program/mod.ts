/** Command line, settings, signals and exit codes of a program. */

export { runProgram } from "./run_program.ts";
export type { ProgramOptions, RunningProgram } from "./run_program.ts";
