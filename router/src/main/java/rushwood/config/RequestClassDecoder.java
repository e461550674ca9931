package rushwood.config;

import java.util.ArrayList;
import java.util.List;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestClass.KeyScope;

/**
 * Decodes the request classes: {@code classes.0.name} and so on, with consistency and staleness in
 * lists of their own that have an element for each class.
 */
final class RequestClassDecoder {
  private static final String CLASS_COUNT = "classes.count";
  private static final String CONSISTENCY_BY_CLASS = "domain.needs_by_class";
  private static final String STALENESS_BY_CLASS = "domain.lag_allowed";

  /** Stands among the consistency words of the classes and marks a class of writes. */
  private static final String WRITE_WORD = "update";

  private final SettingsValues values;

  RequestClassDecoder(SettingsValues values) {
    this.values = values;
  }

  /** Decodes the classes in their order. */
  List<RequestClass> decode() throws InvalidConfigException {
    String[] consistencyWords = values.textOr(CONSISTENCY_BY_CLASS, "").split(",");
    String[] stalenessTexts = values.textOr(STALENESS_BY_CLASS, "").split(",");
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < classCount(); i++) {
      classes.add(
          requestClass(i, elementOrEmpty(consistencyWords, i), elementOrEmpty(stalenessTexts, i)));
    }
    return classes;
  }

  /** Returns the longest time that clients of any class wait for an answer, in nanoseconds. */
  long maxRequestTimeoutNanos() throws InvalidConfigException {
    long longest = 0;
    for (int i = 0; i < classCount(); i++) {
      longest = Math.max(longest, values.nanos(classPrefix(i) + "deadline"));
    }
    return longest;
  }

  private RequestClass requestClass(int index, String consistencyWord, String stalenessText)
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
        consistencyWord.equals(WRITE_WORD),
        consistency(consistencyWord),
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
    String word = values.text(path);
    return switch (word) {
      case "repeatable" -> Idempotency.IDEMPOTENT;
      case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
      case "once" -> Idempotency.NON_IDEMPOTENT;
      default -> throw values.unknownWord(path, word);
    };
  }

  private KeyScope keyScope(String path) throws InvalidConfigException {
    String word = values.text(path);
    return switch (word) {
      case "all" -> KeyScope.GLOBAL;
      case "zone" -> KeyScope.ZONE;
      case "cell" -> KeyScope.GROUP;
      default -> throw values.unknownWord(path, word);
    };
  }

  private Consistency consistency(String word) throws InvalidConfigException {
    return switch (word) {
      case "latest" -> Consistency.STRONG;
      case "own_writes" -> Consistency.READ_YOUR_WRITES;
      case "recent" -> Consistency.BOUNDED_STALENESS;
      case "loose", "", WRITE_WORD -> Consistency.EVENTUAL;
      default -> throw values.unknownWord(CONSISTENCY_BY_CLASS, word);
    };
  }

  private long maxStaleness(String text) throws InvalidConfigException {
    try {
      return text.isEmpty() ? 0 : DecimalSeconds.parseNanos(text);
    } catch (NumberFormatException e) {
      throw values.invalid(STALENESS_BY_CLASS, "is no list of times");
    }
  }
}
