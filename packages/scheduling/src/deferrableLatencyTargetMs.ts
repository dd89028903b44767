/**
 * Latency objective from which requests can be deferred: one that allows 3 s can wait for several loads from copies (0.8 s each) and
 * still be in time.
 */
const deferrableLatencyTargetMs = 3_000;

export default deferrableLatencyTargetMs;
