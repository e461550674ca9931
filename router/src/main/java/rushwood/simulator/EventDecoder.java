package rushwood.simulator;

import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.SessionId;
import rushwood.api.ZoneId;
import rushwood.config.DecimalSeconds;

/** Decodes lines of the simulator protocol into the value types of the routing policy. */
final class EventDecoder {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double DEFAULT_WEIGHT = 1;

  /**
   * The multiplier of the position in a stamp: a stamp is this number times the position in
   * milliseconds, plus the code of the host's role.
   */
  private static final long STAMP_POSITION_FACTOR = 4;

  private static final long STAMP_PRIMARY = 1;
  private static final long STAMP_REPLICA = 2;

  private EventDecoder() {}

  static Request decodeRequest(WireLine line, SimulatedRouter router) {
    String className = line.requiredText("kind");
    RequestClass requestClass =
        RequestClass.findByName(router.settings().requestClasses(), className)
            .orElseThrow(() -> line.malformed("kind", "is unknown: " + className));
    String session = line.optionalText("sess");
    return new Request(
        new RequestId(line.requiredText("id")),
        requestClass,
        session == null ? null : new SessionId(session),
        decodeGroup(line, "cluster"),
        line.requiredNanos("due"),
        line.has("token_ms") ? Math.round(line.requiredNumber("token_ms") * NANOS_PER_MILLI) : 0);
  }

  static AttemptResult decodeAttemptResult(WireLine line, SimulatedRouter router) {
    HostRole role = HostRole.UNKNOWN;
    long position = AttemptResult.NO_POSITION;
    if (line.has("stamp")) {
      long stamp = line.requiredLong("stamp");
      role = decodeRole(stamp % STAMP_POSITION_FACTOR);
      long positionMillis = stamp / STAMP_POSITION_FACTOR;
      if (positionMillis > 0) {
        position = router.positionZeroNanos() + positionMillis * NANOS_PER_MILLI;
      }
    }
    return new AttemptResult(
        new RequestId(line.requiredText("id")),
        line.requiredInt("try"),
        new HostId(line.requiredText("host")),
        decodeOutcome(line),
        line.requiredNanos("cost_time"),
        line.optionalFlag("ended"),
        role,
        position,
        decodeLoadReport(line, router));
  }

  private static HostRole decodeRole(long code) {
    if (code == STAMP_PRIMARY) {
      return HostRole.PRIMARY;
    }
    return code == STAMP_REPLICA ? HostRole.REPLICA : HostRole.UNKNOWN;
  }

  static AttemptOutcome decodeOutcome(WireLine line) {
    return switch (line.requiredText("rc")) {
      case "delivered" -> AttemptOutcome.SUCCESS;
      case "app_error" -> AttemptOutcome.ERROR;
      case "shed" -> AttemptOutcome.OVERLOADED;
      case "expired" -> AttemptOutcome.TIMED_OUT;
      case "dial_failed" -> AttemptOutcome.CONNECT_FAILED;
      case "dropped" -> AttemptOutcome.CONNECTION_LOST;
      case "revoked" -> AttemptOutcome.CANCELLED;
      case "unused" -> AttemptOutcome.NOT_SENT;
      case "empty" -> AttemptOutcome.REPLICA_LAGGING;
      default -> throw line.malformed("rc", "is unknown");
    };
  }

  /**
   * Decodes a load report. Its position, in seconds after {@link
   * SimulatedRouter#positionZeroNanos}, becomes a clock time in nanoseconds.
   */
  static LoadReport decodeLoadReport(WireLine line, SimulatedRouter router) {
    String pairs = line.optionalText("pressure");
    if (pairs == null || pairs.isEmpty()) {
      return LoadReport.NONE;
    }
    double position = Double.NaN;
    HostRole role = HostRole.UNKNOWN;
    for (String pair : pairs.split(",")) {
      int colon = pair.indexOf(':');
      if (colon < 0) {
        throw line.malformed("pressure", "is not a list of name:number pairs");
      }
      double value = decodeLoadValue(line, pair.substring(colon + 1));
      switch (pair.substring(0, colon)) {
        case "x0" -> position = value * NANOS_PER_SECOND + router.positionZeroNanos();
        case "x1" -> role = HostRole.of(value == 1);
        default -> {} // not used by the policy
      }
    }
    return new LoadReport(position, role);
  }

  private static double decodeLoadValue(WireLine line, String text) {
    try {
      return DecimalSeconds.parseNumber(text);
    } catch (NumberFormatException e) {
      throw line.malformed("pressure", "contains a value that is not a number");
    }
  }

  static Endpoint decodeEndpoint(WireLine row) {
    return new Endpoint(
        new HostId(row.requiredText("host")),
        decodeGroup(row, "group"),
        new ZoneId(row.textOr("hall", "")),
        row.has("nominal") ? row.requiredNumber("nominal") : DEFAULT_WEIGHT,
        row.has("up_since") ? row.requiredNanos("up_since") : 0,
        row.has("leads") && row.requiredNumber("leads") == 1,
        decodeState(row));
  }

  private static GroupId decodeGroup(WireLine line, String field) {
    return line.has(field) ? new GroupId(line.requiredInt(field)) : GroupId.UNKNOWN;
  }

  private static Endpoint.State decodeState(WireLine row) {
    return switch (row.requiredText("stage_state")) {
      case "in_service" -> Endpoint.State.READY;
      case "terminating" -> Endpoint.State.DRAINING;
      case "terminated" -> Endpoint.State.REMOVED;
      default -> throw row.malformed("stage_state", "is unknown");
    };
  }
}
