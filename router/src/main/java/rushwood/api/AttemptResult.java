package rushwood.api;

/**
 * What came back for a shot. {@code over}: the access needs no final answer of ours. {@code
 * primary} is the role that it tells, null for none; {@code position} is the position or commit,
 * negative for none.
 */
public record AttemptResult(
    RequestId request,
    int attemptNumber,
    HostId host,
    AttemptOutcome outcome,
    long durationNanos,
    boolean requestFinished,
    Boolean primary,
    long position,
    LoadReport report) {}
