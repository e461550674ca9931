package rushwood.config;

import java.util.Map;

/**
 * Typed access to settings, which are pairs of path and text, such as {@code limits.probes} and
 * {@code true}. The accessors throw an {@link InvalidConfigException} that names the path if there
 * is no value, an empty one or one of another type.
 */
final class SettingsValues {
  private final Map<String, String> values;
  private final String errorPrefix;

  /** {@code errorPrefix} precedes the path where an error names a field; it may be empty. */
  SettingsValues(Map<String, String> values, String errorPrefix) {
    this.values = values;
    this.errorPrefix = errorPrefix;
  }

  /** Whether there is a value at this path, even an empty one. */
  boolean isSet(String path) {
    return values.containsKey(path);
  }

  /** The value at this path, even an empty one; {@code defaultValue} if there is none. */
  String textOr(String path, String defaultValue) {
    return values.getOrDefault(path, defaultValue);
  }

  String text(String path) throws InvalidConfigException {
    String value = values.get(path);
    if (value == null || value.isEmpty()) {
      throw invalid(path, "is missing");
    }
    return value;
  }

  /** A time in nanoseconds, written as decimal seconds. */
  long nanos(String path) throws InvalidConfigException {
    try {
      return DecimalSeconds.parseNanos(text(path));
    } catch (NumberFormatException e) {
      throw invalid(path, "is not a time");
    }
  }

  double number(String path) throws InvalidConfigException {
    try {
      return DecimalSeconds.parseNumber(text(path));
    } catch (NumberFormatException e) {
      throw invalid(path, "is not a number");
    }
  }

  /** {@code true} or {@code false}; false if there is no value. */
  boolean flag(String path) throws InvalidConfigException {
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

  InvalidConfigException unknownWord(String path, String word) {
    return invalid(path, "has the unknown word " + word);
  }

  InvalidConfigException invalid(String path, String reason) {
    return new InvalidConfigException(errorPrefix + path, reason);
  }
}
