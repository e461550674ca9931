package rushwood.config;

import java.util.Map;
import rushwood.api.RoutingSettings;
import rushwood.api.RoutingSettings.LaggingReadBehavior;

/**
 * Decodes the settings of a start from pairs of path and value, such as {@code limits.probes} and
 * {@code true}. The configuration file and the simulator have the same paths and words. Times are
 * written as decimal seconds and returned in nanoseconds. Every method throws an {@link
 * InvalidConfigException} for the first field that is missing or cannot be read.
 */
public final class SettingsDecoder {
  private static final String LAGGING_READS = "domain.behind";
  private static final String POSITION_ZERO = "domain.position_zero";
  private static final String SUBSCRIPTION = "discovery";
  private static final String DRAIN_GRACE = "rules.drain_grace";

  /** Where none is set: the shortest drain grace of any known deployment. */
  private static final long DEFAULT_DRAIN_GRACE_NANOS = 250_000_000L;

  private final SettingsValues values;
  private final RequestClassDecoder classes;

  /**
   * Creates a decoder.
   *
   * @param values the settings by their path
   * @param errorPrefix precedes the path where an error names a field; may be empty
   */
  public SettingsDecoder(Map<String, String> values, String errorPrefix) {
    this.values = new SettingsValues(values, errorPrefix);
    classes = new RequestClassDecoder(this.values);
  }

  /** Decodes what the routing policy reads. */
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
   * Returns the clock time from which the wire counts replication positions; the policy sees clock
   * times only.
   */
  public long positionZeroNanos() throws InvalidConfigException {
    return values.isSet(POSITION_ZERO) ? values.nanos(POSITION_ZERO) : 0;
  }

  /** Returns the longest that any client waits for an answer. */
  long maxRequestTimeoutNanos() throws InvalidConfigException {
    return classes.maxRequestTimeoutNanos();
  }

  /** Returns the longest that a connection to a backend may take to open. */
  long connectTimeoutNanos() throws InvalidConfigException {
    return values.nanos("limits.dial_timeout");
  }

  /** Returns after how long a backend closes an idle connection. */
  long idleTimeoutNanos() throws InvalidConfigException {
    return values.nanos("limits.conn_idle");
  }

  /** Returns the time after which a leaving endpoint may get nothing new; never negative. */
  long drainGraceNanos() throws InvalidConfigException {
    return values.isSet(DRAIN_GRACE)
        ? Math.max(0, values.nanos(DRAIN_GRACE))
        : DEFAULT_DRAIN_GRACE_NANOS;
  }

  private boolean subscribesToEndpoints() throws InvalidConfigException {
    String word = values.text(SUBSCRIPTION);
    return switch (word) {
      case "automatic" -> false;
      case "subscribe" -> true;
      default -> throw values.unknownWord(SUBSCRIPTION, word);
    };
  }

  private LaggingReadBehavior laggingReadBehavior() throws InvalidConfigException {
    if (!values.isSet(LAGGING_READS)) {
      return LaggingReadBehavior.SERVES;
    }
    String word = values.text(LAGGING_READS);
    return switch (word) {
      case "off" -> LaggingReadBehavior.SERVES;
      case "reject" -> LaggingReadBehavior.REJECTS;
      case "hold" -> LaggingReadBehavior.WAITS;
      default -> throw values.unknownWord(LAGGING_READS, word);
    };
  }
}
