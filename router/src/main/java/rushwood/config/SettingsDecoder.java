package rushwood.config;

import java.util.Map;
import rushwood.api.RoutingSettings;
import rushwood.api.RoutingSettings.LaggingReadBehavior;

/**
 * Decodes the settings of the routing policy, and of the connections to hosts, from pairs of path
 * and value, such as {@code limits.probes} and {@code true}. Paths and values are the same in the
 * configuration file and in the simulator's messages. Times are written in decimal seconds and
 * returned in nanoseconds.
 *
 * <p>Every method throws an {@link InvalidConfigException} for the first field that is missing or
 * invalid.
 */
public final class SettingsDecoder {
  private static final String LAGGING_READ_BEHAVIOR = "domain.behind";
  private static final String POSITION_ZERO = "domain.position_zero";
  private static final String ENDPOINT_DELIVERY = "discovery";
  private static final String DRAIN_GRACE = "rules.drain_grace";

  /** The drain grace if none is set: the shortest one of any known deployment. */
  private static final long DEFAULT_DRAIN_GRACE_NANOS = 250_000_000L;

  private final SettingsValues values;
  private final RequestClassDecoder classes;

  /**
   * Creates a decoder.
   *
   * @param values the settings by path
   * @param errorPrefix the text before the path of a field in error messages; may be empty
   */
  public SettingsDecoder(Map<String, String> values, String errorPrefix) {
    this.values = new SettingsValues(values, errorPrefix);
    classes = new RequestClassDecoder(this.values);
  }

  /** Decodes the settings of the routing policy. */
  public RoutingSettings decodeSettings() throws InvalidConfigException {
    boolean hasLoadReports = !values.textOr("load_report.how", "off").equals("off");
    boolean tracksSessionWrites = values.textOr("domain.token_mode", "client").equals("router");
    return RoutingSettings.builder()
        .routerCount((int) values.number("n_instances"))
        .requestClasses(classes.decode())
        .subscribesToEndpoints(subscribesToEndpoints())
        .laggingReadBehavior(laggingReadBehavior())
        .hasLoadReports(hasLoadReports)
        .tracksSessionWrites(tracksSessionWrites)
        .hasHealthChecks(values.flag("limits.probes"))
        .canCancel(values.flag("limits.may_cancel"))
        .canSendRetryAfter(values.flag("limits.retry_after"))
        .maxRetryAfterNanos(values.nanos("limits.max_retry_after"))
        .maxAttempts((int) values.number("limits.most_tries"))
        .clockResolutionNanos(values.nanos("resolution"))
        .isRemovalBinding(!values.flag("rules.removal_not_binding"))
        .coldStartShare(values.number("rules.cold_from"))
        .warmupNanos(values.nanos("rules.cold"))
        .collapseMultiple(values.number("rules.tip_multiple"))
        .collapseWindowNanos(values.nanos("rules.fall"))
        .refreshWithinNanos(values.nanos("rules.ask_within"))
        .build();
  }

  /**
   * Returns the clock time in nanoseconds that is position 0 in the simulator's messages. The
   * policy knows replication positions as clock times only.
   */
  public long positionZeroNanos() throws InvalidConfigException {
    return values.isSet(POSITION_ZERO) ? values.nanos(POSITION_ZERO) : 0;
  }

  /** Returns the longest timeout of any request class, 0 if there are no classes. */
  long maxRequestTimeoutNanos() throws InvalidConfigException {
    return classes.maxRequestTimeoutNanos();
  }

  /** Returns how long opening a connection to a host may take. */
  long connectTimeoutNanos() throws InvalidConfigException {
    return values.nanos("limits.dial_timeout");
  }

  /** Returns the time after which a host closes an idle connection. */
  long idleTimeoutNanos() throws InvalidConfigException {
    return values.nanos("limits.conn_idle");
  }

  /** Returns the time after which a leaving endpoint must not get new requests; never negative. */
  long drainGraceNanos() throws InvalidConfigException {
    return values.isSet(DRAIN_GRACE)
        ? Math.max(0, values.nanos(DRAIN_GRACE))
        : DEFAULT_DRAIN_GRACE_NANOS;
  }

  private boolean subscribesToEndpoints() throws InvalidConfigException {
    String value = values.text(ENDPOINT_DELIVERY);
    return switch (value) {
      case "automatic" -> false;
      case "subscribe" -> true;
      default -> throw values.unknownValue(ENDPOINT_DELIVERY, value);
    };
  }

  private LaggingReadBehavior laggingReadBehavior() throws InvalidConfigException {
    if (!values.isSet(LAGGING_READ_BEHAVIOR)) {
      return LaggingReadBehavior.SERVES;
    }
    String value = values.text(LAGGING_READ_BEHAVIOR);
    return switch (value) {
      case "off" -> LaggingReadBehavior.SERVES;
      case "reject" -> LaggingReadBehavior.REJECTS;
      case "hold" -> LaggingReadBehavior.WAITS;
      default -> throw values.unknownValue(LAGGING_READ_BEHAVIOR, value);
    };
  }
}
