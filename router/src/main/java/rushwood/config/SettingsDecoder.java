package rushwood.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestClass.KeyScope;
import rushwood.api.RoutingSettings;
import rushwood.api.RoutingSettings.LaggingReadBehavior;

/**
 * Decodes the settings of a start from pairs of path and value, such as {@code limits.probes} and
 * {@code true}. The configuration file and the simulator have the same paths and words. Times are
 * written as decimal seconds and returned in nanoseconds.
 */
public final class SettingsDecoder {
  private static final String CLASS_COUNT = "classes.count";
  private static final String CONSISTENCY_BY_CLASS = "domain.needs_by_class";
  private static final String STALENESS_BY_CLASS = "domain.lag_allowed";
  private static final String LAGGING_READS = "domain.behind";
  private static final String POSITION_ZERO = "domain.position_zero";
  private static final String SUBSCRIPTION = "discovery";

  /** Stands among the consistency words of the classes and marks a class of writes. */
  private static final String WRITE_WORD = "update";

  private final Map<String, String> values;
  private final String errorPrefix;

  /**
   * Creates a decoder.
   *
   * @param values the settings by their path
   * @param errorPrefix precedes the path where an error names a field; may be empty
   */
  public SettingsDecoder(Map<String, String> values, String errorPrefix) {
    this.values = values;
    this.errorPrefix = errorPrefix;
  }

  /**
   * Decodes what the routing policy reads.
   *
   * @throws InvalidConfigException for the first field that is missing or cannot be read
   */
  public RoutingSettings decodeSettings() throws InvalidConfigException {
    boolean hasLoadReports = !values.getOrDefault("load_report.how", "off").equals("off");
    boolean tracksSessionWrites =
        values.getOrDefault("domain.token_mode", "client").equals("router");
    return RoutingSettings.builder()
        .routerCount((int) number("n_instances"))
        .requestClasses(requestClasses())
        .subscribesToEndpoints(subscribesToEndpoints())
        .laggingReadBehavior(laggingReadBehavior())
        .hasLoadReports(hasLoadReports)
        .tracksSessionWrites(tracksSessionWrites)
        .hasHealthChecks(flag("limits.probes"))
        .canCancel(flag("limits.may_cancel"))
        .canSendRetryAfter(flag("limits.retry_after"))
        .maxRetryAfterNanos(nanos("limits.max_retry_after"))
        .maxAttempts((int) number("limits.most_tries"))
        .clockResolutionNanos(nanos("resolution"))
        .isRemovalBinding(!flag("rules.removal_not_binding"))
        .coldStartShare(number("rules.cold_from"))
        .warmupNanos(nanos("rules.cold"))
        .collapseMultiple(number("rules.tip_multiple"))
        .collapseWindowNanos(nanos("rules.fall"))
        .refreshWithinNanos(nanos("rules.ask_within"))
        .build();
  }

  /**
   * Returns the clock time from which the wire counts replication positions; the policy sees clock
   * times only.
   */
  public long positionZeroNanos() throws InvalidConfigException {
    return isSet(POSITION_ZERO) ? nanos(POSITION_ZERO) : 0;
  }

  /** Returns the longest that any client waits for an answer. */
  public long maxRequestTimeoutNanos() throws InvalidConfigException {
    long longest = 0;
    for (int i = 0; i < classCount(); i++) {
      longest = Math.max(longest, nanos(classPrefix(i) + "deadline"));
    }
    return longest;
  }

  /** Returns whether there is a value at this path, even an empty one. */
  public boolean isSet(String path) {
    return values.containsKey(path);
  }

  /**
   * Returns the time at this path.
   *
   * @throws InvalidConfigException if it is missing or no number of seconds
   */
  public long nanos(String path) throws InvalidConfigException {
    try {
      return DecimalSeconds.parseNanos(text(path));
    } catch (NumberFormatException e) {
      throw invalid(path, "is not a time");
    }
  }

  private boolean subscribesToEndpoints() throws InvalidConfigException {
    String word = text(SUBSCRIPTION);
    return switch (word) {
      case "automatic" -> false;
      case "subscribe" -> true;
      default -> throw unknownWord(SUBSCRIPTION, word);
    };
  }

  private LaggingReadBehavior laggingReadBehavior() throws InvalidConfigException {
    if (!isSet(LAGGING_READS)) {
      return LaggingReadBehavior.SERVES;
    }
    String word = text(LAGGING_READS);
    return switch (word) {
      case "off" -> LaggingReadBehavior.SERVES;
      case "reject" -> LaggingReadBehavior.REJECTS;
      case "hold" -> LaggingReadBehavior.WAITS;
      default -> throw unknownWord(LAGGING_READS, word);
    };
  }

  private List<RequestClass> requestClasses() throws InvalidConfigException {
    String[] consistencyWords = values.getOrDefault(CONSISTENCY_BY_CLASS, "").split(",");
    String[] stalenessTexts = values.getOrDefault(STALENESS_BY_CLASS, "").split(",");
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < classCount(); i++) {
      classes.add(
          requestClass(i, elementOrEmpty(consistencyWords, i), elementOrEmpty(stalenessTexts, i)));
    }
    return classes;
  }

  private RequestClass requestClass(int index, String consistencyWord, String stalenessText)
      throws InvalidConfigException {
    String prefix = classPrefix(index);
    String lateValue = prefix + "late_value";
    return new RequestClass(
        text(prefix + "name"),
        index,
        nanos(prefix + "aim"),
        idempotency(prefix + "semantics"),
        keyScope(prefix + "key_scope"),
        nanos(prefix + "window"),
        consistencyWord.equals(WRITE_WORD),
        consistency(consistencyWord),
        maxStaleness(stalenessText),
        isSet(lateValue) ? number(lateValue) : 0);
  }

  private int classCount() throws InvalidConfigException {
    return isSet(CLASS_COUNT) ? (int) number(CLASS_COUNT) : 0;
  }

  private static String classPrefix(int index) {
    return "classes." + index + ".";
  }

  private static String elementOrEmpty(String[] elements, int index) {
    return index < elements.length ? elements[index] : "";
  }

  private Idempotency idempotency(String path) throws InvalidConfigException {
    String word = text(path);
    return switch (word) {
      case "repeatable" -> Idempotency.IDEMPOTENT;
      case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
      case "once" -> Idempotency.NON_IDEMPOTENT;
      default -> throw unknownWord(path, word);
    };
  }

  private KeyScope keyScope(String path) throws InvalidConfigException {
    String word = text(path);
    return switch (word) {
      case "all" -> KeyScope.GLOBAL;
      case "zone" -> KeyScope.ZONE;
      case "cell" -> KeyScope.GROUP;
      default -> throw unknownWord(path, word);
    };
  }

  private Consistency consistency(String word) throws InvalidConfigException {
    return switch (word) {
      case "latest" -> Consistency.STRONG;
      case "own_writes" -> Consistency.READ_YOUR_WRITES;
      case "recent" -> Consistency.BOUNDED_STALENESS;
      case "loose", "", WRITE_WORD -> Consistency.EVENTUAL;
      default -> throw unknownWord(CONSISTENCY_BY_CLASS, word);
    };
  }

  private long maxStaleness(String text) throws InvalidConfigException {
    try {
      return text.isEmpty() ? 0 : DecimalSeconds.parseNanos(text);
    } catch (NumberFormatException e) {
      throw invalid(STALENESS_BY_CLASS, "is no list of times");
    }
  }

  private boolean flag(String path) throws InvalidConfigException {
    if (!isSet(path)) {
      return false;
    }
    String word = text(path);
    return switch (word) {
      case "false" -> false;
      case "true" -> true;
      default -> throw unknownWord(path, word);
    };
  }

  private double number(String path) throws InvalidConfigException {
    try {
      return DecimalSeconds.parseNumber(text(path));
    } catch (NumberFormatException e) {
      throw invalid(path, "is not a number");
    }
  }

  private String text(String path) throws InvalidConfigException {
    String value = values.get(path);
    if (value == null || value.isEmpty()) {
      throw invalid(path, "is missing");
    }
    return value;
  }

  private InvalidConfigException unknownWord(String path, String word) {
    return invalid(path, "has the unknown word " + word);
  }

  private InvalidConfigException invalid(String path, String reason) {
    return new InvalidConfigException(errorPrefix + path, reason);
  }
}
