package rushwood.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import rushwood.api.RequestClass;
import rushwood.api.RoutingSettings;
import rushwood.simulator.MalformedMessageException;

/** Decodes the settings of a start, given as pairs of path and value. */
public final class SettingsDecoder {
  private final BiFunction<String, String, MalformedMessageException> bad;
  private final Map<String, String> pairs;

  /** With what makes the fault of a field and its reason. */
  public SettingsDecoder(
      Map<String, String> pairs, BiFunction<String, String, MalformedMessageException> bad) {
    this.pairs = pairs;
    this.bad = bad;
  }

  public RoutingSettings decodeSettings() {
    boolean loadReports = !pairs.getOrDefault("load_report.how", "off").equals("off");
    boolean routerTracksWrites = pairs.getOrDefault("domain.token_mode", "client").equals("router");
    return new RoutingSettings(
        (int) number("n_instances"),
        requestClasses(),
        indexOfWord("discovery", "automatic", "subscribe") == 1,
        behind(),
        loadReports,
        routerTracksWrites,
        flag("limits.probes"),
        flag("limits.may_cancel"),
        flag("limits.retry_after"),
        nanos("limits.max_retry_after"),
        (int) number("limits.most_tries"),
        nanos("resolution"),
        !flag("rules.removal_not_binding"),
        number("rules.cold_from"),
        nanos("rules.cold"),
        number("rules.tip_multiple"),
        nanos("rules.fall"),
        nanos("rules.ask_within"));
  }

  /** The clock time from which the wire counts positions; the decisions see clock times only. */
  public long positionZeroNanos() {
    return pairs.containsKey("domain.position_zero") ? nanos("domain.position_zero") : 0;
  }

  private RoutingSettings.LaggingReadBehavior behind() {
    boolean isSet = pairs.containsKey("domain.behind");
    return RoutingSettings.LaggingReadBehavior.values()[
        isSet ? indexOfWord("domain.behind", "off", "reject", "hold") : 0];
  }

  private List<RequestClass> requestClasses() {
    String[] consistencyWords = pairs.getOrDefault("domain.needs_by_class", "").split(",");
    String[] bounds = pairs.getOrDefault("domain.lag_allowed", "").split(",");
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < count("classes.count"); i++) {
      String prefix = "classes." + i + ".";
      String word = i < consistencyWords.length ? consistencyWords[i] : "";
      classes.add(
          new RequestClass(
              text(prefix + "name"),
              i,
              nanos(prefix + "aim"),
              RequestClass.Idempotency.values()[
                  indexOfWord(prefix + "semantics", "repeatable", "by_key", "once")],
              keyScope(prefix),
              nanos(prefix + "window"),
              word.equals("update"),
              consistency(word),
              stalenessBound(i < bounds.length ? bounds[i] : ""),
              pairs.containsKey(prefix + "late_value") ? number(prefix + "late_value") : 0));
    }
    return classes;
  }

  /** The longest that any client waits for an answer. */
  public long maxRequestTimeoutNanos() {
    long longest = 0;
    for (int i = 0; i < count("classes.count"); i++) {
      longest = Math.max(longest, nanos("classes." + i + ".deadline"));
    }
    return longest;
  }

  private long stalenessBound(String text) {
    return text.isEmpty()
        ? 0
        : DecimalSeconds.parseNanos(
            text, () -> bad.apply("domain.lag_allowed", "is no list of times"));
  }

  private RequestClass.KeyScope keyScope(String prefix) {
    return RequestClass.KeyScope.values()[indexOfWord(prefix + "key_scope", "all", "zone", "cell")];
  }

  private RequestClass.Consistency consistency(String word) {
    return switch (word) {
      case "latest" -> RequestClass.Consistency.STRONG;
      case "own_writes" -> RequestClass.Consistency.READ_YOUR_WRITES;
      case "recent" -> RequestClass.Consistency.BOUNDED_STALENESS;
      case "update", "loose", "" -> RequestClass.Consistency.EVENTUAL;
      default -> throw bad.apply("domain.needs_by_class", "has the unknown word " + word);
    };
  }

  private String text(String key) {
    String value = pairs.get(key);
    if (value == null || value.isEmpty()) {
      throw bad.apply(key, "is missing");
    }
    return value;
  }

  private int indexOfWord(String key, String... words) {
    String value = text(key);
    for (int i = 0; i < words.length; i++) {
      if (words[i].equals(value)) {
        return i;
      }
    }
    throw bad.apply(key, "has the unknown word " + value);
  }

  private boolean flag(String key) {
    return pairs.containsKey(key) && indexOfWord(key, "false", "true") == 1;
  }

  private int count(String key) {
    return pairs.containsKey(key) ? (int) number(key) : 0;
  }

  private double number(String key) {
    return DecimalSeconds.parseNumber(text(key), () -> bad.apply(key, "is not a number"));
  }

  public long nanos(String key) {
    return DecimalSeconds.parseNanos(text(key), () -> bad.apply(key, "is not a time"));
  }
}
