package rushwood.config;

import java.util.ArrayList;
import java.util.List;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestClass.KeyScope;

/**
 * Decodes the request classes. Most of their fields have paths such as {@code classes.0.name};
 * consistency and staleness are comma-separated lists with an element for each class.
 */
final class RequestClassDecoder {
  private static final String CLASS_COUNT = "classes.count";
  private static final String CONSISTENCY_BY_CLASS = "domain.needs_by_class";
  private static final String STALENESS_BY_CLASS = "domain.lag_allowed";

  /** The element of the consistency list that marks a class of writes. */
  private static final String WRITE_CONSISTENCY = "update";

  private final SettingsValues values;

  RequestClassDecoder(SettingsValues values) {
    this.values = values;
  }

  /** Decodes all classes, in the order of the settings. */
  List<RequestClass> decode() throws InvalidConfigException {
    String[] consistencyNames = values.textOr(CONSISTENCY_BY_CLASS, "").split(",");
    String[] stalenessTexts = values.textOr(STALENESS_BY_CLASS, "").split(",");
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < classCount(); i++) {
      classes.add(
          requestClass(i, elementOrEmpty(consistencyNames, i), elementOrEmpty(stalenessTexts, i)));
    }
    return classes;
  }

  /** Returns the longest timeout of any class in nanoseconds, 0 if there are no classes. */
  long maxRequestTimeoutNanos() throws InvalidConfigException {
    long longest = 0;
    for (int i = 0; i < classCount(); i++) {
      longest = Math.max(longest, values.nanos(classPrefix(i) + "deadline"));
    }
    return longest;
  }

  private RequestClass requestClass(int index, String consistencyName, String stalenessText)
      throws InvalidConfigException {
    String prefix = classPrefix(index);
    String lateValue = prefix + "late_value";
    return new RequestClass(
        values.text(prefix + "name"),
        index,
        values.nanos(prefix + "aim"),
        idempotency(prefix + "semantics"),
        keyScope(prefix + "key_scope"),
        values.nanos(prefix + "window"),
        consistencyName.equals(WRITE_CONSISTENCY),
        consistency(consistencyName),
        maxStaleness(stalenessText),
        values.isSet(lateValue) ? values.number(lateValue) : 0);
  }

  private int classCount() throws InvalidConfigException {
    return values.isSet(CLASS_COUNT) ? (int) values.number(CLASS_COUNT) : 0;
  }

  private static String classPrefix(int index) {
    return "classes." + index + ".";
  }

  private static String elementOrEmpty(String[] elements, int index) {
    return index < elements.length ? elements[index] : "";
  }

  private Idempotency idempotency(String path) throws InvalidConfigException {
    String value = values.text(path);
    return switch (value) {
      case "repeatable" -> Idempotency.IDEMPOTENT;
      case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
      case "once" -> Idempotency.NON_IDEMPOTENT;
      default -> throw values.unknownValue(path, value);
    };
  }

  private KeyScope keyScope(String path) throws InvalidConfigException {
    String value = values.text(path);
    return switch (value) {
      case "all" -> KeyScope.GLOBAL;
      case "zone" -> KeyScope.ZONE;
      case "cell" -> KeyScope.GROUP;
      default -> throw values.unknownValue(path, value);
    };
  }

  private Consistency consistency(String name) throws InvalidConfigException {
    return switch (name) {
      case "latest" -> Consistency.STRONG;
      case "own_writes" -> Consistency.READ_YOUR_WRITES;
      case "recent" -> Consistency.BOUNDED_STALENESS;
      case "loose", "", WRITE_CONSISTENCY -> Consistency.EVENTUAL;
      default -> throw values.unknownValue(CONSISTENCY_BY_CLASS, name);
    };
  }

  private long maxStaleness(String text) throws InvalidConfigException {
    try {
      return text.isEmpty() ? 0 : DecimalSeconds.parseNanos(text);
    } catch (NumberFormatException e) {
      throw values.invalid(STALENESS_BY_CLASS, "is not a list of times in seconds");
    }
  }
}
