package rushwood.config;

import java.util.Map;

/**
 * Typed access to settings, which are pairs of path and text, such as {@code limits.probes} and
 * {@code true}. Unless stated otherwise, the accessors throw an {@link InvalidConfigException} with
 * the path if the value is missing, empty or of another type.
 */
final class SettingsValues {
  private final Map<String, String> values;
  private final String errorPrefix;

  /**
   * Creates the access to the given settings.
   *
   * @param values the settings by path
   * @param errorPrefix the text before the path of a field in error messages; may be empty
   */
  SettingsValues(Map<String, String> values, String errorPrefix) {
    this.values = values;
    this.errorPrefix = errorPrefix;
  }

  /** Returns whether there is a value, which may be empty. */
  boolean isSet(String path) {
    return values.containsKey(path);
  }

  /** Returns the value, which may be empty, or {@code defaultValue} if there is none. */
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

  /** Returns the time in nanoseconds that the value gives in decimal seconds. */
  long nanos(String path) throws InvalidConfigException {
    try {
      return DecimalSeconds.parseNanos(text(path));
    } catch (NumberFormatException e) {
      throw invalid(path, "is not a time in seconds");
    }
  }

  double number(String path) throws InvalidConfigException {
    try {
      return DecimalSeconds.parseNumber(text(path));
    } catch (NumberFormatException e) {
      throw invalid(path, "is not a number");
    }
  }

  /** Returns whether the value is {@code true}; false if there is no value. */
  boolean flag(String path) throws InvalidConfigException {
    if (!isSet(path)) {
      return false;
    }
    String value = text(path);
    return switch (value) {
      case "false" -> false;
      case "true" -> true;
      default -> throw unknownValue(path, value);
    };
  }

  InvalidConfigException unknownValue(String path, String value) {
    return invalid(path, "has the unknown value " + value);
  }

  InvalidConfigException invalid(String path, String reason) {
    return new InvalidConfigException(errorPrefix + path, reason);
  }
}
