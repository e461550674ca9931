package rushwood.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
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
   * @throws MalformedListException if {@code json} is not one
   */
  static JsonObject parseObject(String json) throws MalformedListException {
    try {
      return JsonParser.parseString(json).getAsJsonObject();
    } catch (JsonParseException | IllegalStateException e) { // no JSON, or JSON but no object
      throw new MalformedListException("no JSON object: " + e.getMessage());
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

  /** A number, in any notation that {@link Double#parseDouble} takes. */
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

  /** {@code true} or {@code false}. */
  static boolean requiredFlag(JsonObject object, String field) {
    return switch (requiredText(object, field)) {
      case "true" -> true;
      case "false" -> false;
      default -> throw InvalidFieldException.missingOrUnreadable(field);
    };
  }
}
