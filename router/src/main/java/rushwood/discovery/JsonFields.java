package rushwood.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/**
 * Typed access to the fields of a JSON object. Numbers and flags may also be written as strings.
 * Every method but {@link #parseObject} throws {@link InvalidFieldException} with the field's name.
 */
final class JsonFields {
  private JsonFields() {}

  /**
   * Parses one JSON object.
   *
   * @throws IllegalArgumentException if {@code json} is not one
   */
  static JsonObject parseObject(String json) {
    try {
      return JsonParser.parseString(json).getAsJsonObject();
    } catch (RuntimeException e) {
      throw new IllegalArgumentException("no JSON object: " + e.getMessage(), e);
    }
  }

  /** A primitive that is present, not null and not the empty string. */
  static String requiredText(JsonObject object, String field) {
    JsonElement value = object.get(field);
    if (value == null || !value.isJsonPrimitive() || value.getAsString().isEmpty()) {
      throw InvalidFieldException.missingOrUnreadable(field);
    }
    return value.getAsString();
  }

  static double requiredNumber(JsonObject object, String field) {
    try {
      return Double.parseDouble(requiredText(object, field));
    } catch (NumberFormatException e) {
      throw InvalidFieldException.missingOrUnreadable(field);
    }
  }

  /** {@code defaultValue} stands for an absent field and for null. */
  static double optionalNumber(JsonObject object, String field, double defaultValue) {
    boolean absent = !object.has(field) || object.get(field).isJsonNull();
    return absent ? defaultValue : requiredNumber(object, field);
  }

  static boolean requiredFlag(JsonObject object, String field) {
    return switch (requiredText(object, field)) {
      case "true" -> true;
      case "false" -> false;
      default -> throw InvalidFieldException.missingOrUnreadable(field);
    };
  }
}
