/** A structured log. */
interface EventLog {
  /** Writes one line. Never blocks and never throws. */
  event(name: string, fields: Readonly<Record<string, string | number | boolean>>): void;
}

export default EventLog;
