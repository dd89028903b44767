/** A validation error, with its location in the input. */
interface ValidationError {
  /** File or other source of the input. */
  readonly file: string;
  /** Section of the INI file or name of the row; empty outside of sections. */
  readonly section: string;
  /** Key within the section; empty if the error concerns the whole section. */
  readonly key: string;
  readonly reason: string;
}

export default ValidationError;
