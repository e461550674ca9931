package rushwood.adapter;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import rushwood.api.RequestClass;
import rushwood.api.RoutingSettings;

/** Decodes the settings of a start, given as pairs of path and value. */
public final class Conf {
  private final BiFunction<String, String, BadLine> bad;
  private final Map<String, String> pairs;

  /** With what makes the fault of a field and its reason. */
  public Conf(Map<String, String> pairs, BiFunction<String, String, BadLine> bad) {
    this.pairs = pairs;
    this.bad = bad;
  }

  public RoutingSettings settings() {
    boolean reports = !pairs.getOrDefault("load_report.how", "off").equals("off");
    boolean remembers = pairs.getOrDefault("domain.token_mode", "client").equals("router");
    return new RoutingSettings(
        (int) number("n_instances"),
        products(),
        one("discovery", "automatic", "subscribe") == 1,
        behind(),
        reports,
        remembers,
        flag("limits.probes"),
        flag("limits.may_cancel"),
        flag("limits.retry_after"),
        time("limits.max_retry_after"),
        (int) number("limits.most_tries"),
        time("resolution"),
        !flag("rules.removal_not_binding"),
        number("rules.cold_from"),
        time("rules.cold"),
        number("rules.tip_multiple"),
        time("rules.fall"),
        time("rules.ask_within"));
  }

  /** The clock time from which the wire counts positions; the decisions see clock times only. */
  long positionZero() {
    return pairs.containsKey("domain.position_zero") ? time("domain.position_zero") : 0;
  }

  private RoutingSettings.LaggingReadBehavior behind() {
    boolean told = pairs.containsKey("domain.behind");
    return RoutingSettings.LaggingReadBehavior.values()[
        told ? one("domain.behind", "off", "reject", "hold") : 0];
  }

  private List<RequestClass> products() {
    String[] needs = pairs.getOrDefault("domain.needs_by_class", "").split(",");
    String[] bounds = pairs.getOrDefault("domain.lag_allowed", "").split(",");
    List<RequestClass> products = new ArrayList<>();
    for (int i = 0; i < count("classes.count"); i++) {
      String at = "classes." + i + ".";
      products.add(
          new RequestClass(
              text(at + "name"),
              i,
              time(at + "aim"),
              RequestClass.Idempotency.values()[
                  one(at + "semantics", "repeatable", "by_key", "once")],
              scope(at),
              time(at + "window"),
              need(i < needs.length ? needs[i] : ""),
              bound(i < bounds.length ? bounds[i] : ""),
              pairs.containsKey(at + "late_value") ? number(at + "late_value") : 0));
    }
    return products;
  }

  /** The longest that any client waits for an answer. */
  public long longestOuterLimit() {
    long longest = 0;
    for (int i = 0; i < count("classes.count"); i++) {
      longest = Math.max(longest, time("classes." + i + ".deadline"));
    }
    return longest;
  }

  private long bound(String text) {
    return text.isEmpty()
        ? 0
        : Decimal.nanos(text, () -> bad.apply("domain.lag_allowed", "is no list of times"));
  }

  private RequestClass.KeyScope scope(String at) {
    return RequestClass.KeyScope.values()[one(at + "key_scope", "all", "zone", "cell")];
  }

  private RequestClass.Consistency need(String word) {
    return switch (word) {
      case "update" -> RequestClass.Consistency.WRITE;
      case "latest" -> RequestClass.Consistency.STRONG;
      case "own_writes" -> RequestClass.Consistency.READ_YOUR_WRITES;
      case "recent" -> RequestClass.Consistency.BOUNDED_STALENESS;
      case "loose", "" -> RequestClass.Consistency.EVENTUAL;
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

  private int one(String key, String... words) {
    String value = text(key);
    for (int i = 0; i < words.length; i++) {
      if (words[i].equals(value)) {
        return i;
      }
    }
    throw bad.apply(key, "has the unknown word " + value);
  }

  private boolean flag(String key) {
    return pairs.containsKey(key) && one(key, "false", "true") == 1;
  }

  private int count(String key) {
    return pairs.containsKey(key) ? (int) number(key) : 0;
  }

  private double number(String key) {
    return Decimal.number(text(key), () -> bad.apply(key, "is not a number"));
  }

  public long time(String key) {
    return Decimal.nanos(text(key), () -> bad.apply(key, "is not a time"));
  }
}
