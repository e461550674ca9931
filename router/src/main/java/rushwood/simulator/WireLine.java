package rushwood.simulator;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import rushwood.config.DecimalSeconds;

/**
 * A line of the simulator protocol: the message type and fields {@code name=value}, separated by
 * tabs. The accessors that convert a value throw a {@link MalformedMessageException} if it is
 * malformed. Those with {@code required} in their name also throw it if the field is missing or
 * empty.
 */
final class WireLine {
  private static final int INITIAL_FIELD_CAPACITY = 16;

  private final String text;
  private final long lineNumber;
  private int[] fieldStarts = new int[INITIAL_FIELD_CAPACITY];
  private int fieldCount;

  WireLine(String text, long lineNumber) {
    this.text = text;
    this.lineNumber = lineNumber;
    for (int tab = text.indexOf('\t'); tab >= 0; tab = text.indexOf('\t', tab + 1)) {
      if (fieldCount == fieldStarts.length) {
        fieldStarts = Arrays.copyOf(fieldStarts, 2 * fieldCount);
      }
      fieldStarts[fieldCount++] = tab + 1;
    }
  }

  String messageType() {
    return fieldCount == 0 ? text : text.substring(0, fieldStarts[0] - 1);
  }

  /** Returns an exception whose message names this line, the field and the reason. */
  MalformedMessageException malformed(String field, String reason) {
    return new MalformedMessageException(
        "line " + lineNumber + " (" + messageType() + "): " + field + " " + reason);
  }

  boolean has(String name) {
    return optionalText(name) != null;
  }

  /** Returns the value of the field, or null if the field is missing. */
  @Nullable String optionalText(String name) {
    for (int i = 0; i < fieldCount; i++) {
      int start = fieldStarts[i];
      int equals = start + name.length();
      if (text.startsWith(name, start) && equals < text.length() && text.charAt(equals) == '=') {
        return text.substring(equals + 1, fieldEnd(i));
      }
    }
    return null;
  }

  /** Returns the value of the field, or {@code defaultValue} if the field is missing. */
  String textOr(String name, String defaultValue) {
    String value = optionalText(name);
    return value == null ? defaultValue : value;
  }

  private int fieldEnd(int index) {
    return index + 1 < fieldCount ? fieldStarts[index + 1] - 1 : text.length();
  }

  /** Returns all fields by name, in the order of the line. */
  Map<String, String> fields() {
    Map<String, String> fields = new LinkedHashMap<>();
    for (int i = 0; i < fieldCount; i++) {
      String field = text.substring(fieldStarts[i], fieldEnd(i));
      int equals = field.indexOf('=');
      if (equals > 0) {
        fields.put(field.substring(0, equals), field.substring(equals + 1));
      }
    }
    return fields;
  }

  String requiredText(String name) {
    String value = optionalText(name);
    if (value == null || value.isEmpty()) {
      throw malformed(name, "is missing");
    }
    return value;
  }

  /** Returns the time in nanoseconds that the field gives in decimal seconds. */
  long requiredNanos(String name) {
    try {
      return DecimalSeconds.parseNanos(requiredText(name));
    } catch (NumberFormatException e) {
      throw malformed(name, "is not a time in seconds");
    }
  }

  double requiredNumber(String name) {
    try {
      return DecimalSeconds.parseNumber(requiredText(name));
    } catch (NumberFormatException e) {
      throw malformed(name, "is not a number");
    }
  }

  int requiredInt(String name) {
    long value = requiredLong(name);
    if (value != (int) value) {
      throw malformed(name, "is out of range");
    }
    return (int) value;
  }

  long requiredLong(String name) {
    try {
      return Long.parseLong(requiredText(name));
    } catch (NumberFormatException e) {
      throw malformed(name, "is not a whole number");
    }
  }

  /** Returns whether the field is 1; false if it is 0 or missing. */
  boolean optionalFlag(String name) {
    String value = optionalText(name);
    if (value == null || value.equals("0")) {
      return false;
    }
    if (!value.equals("1")) {
      throw malformed(name, "is neither 0 nor 1");
    }
    return true;
  }
}
