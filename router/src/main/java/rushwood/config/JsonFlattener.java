package rushwood.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Flattens nested JSON into pairs of path and value, the form in which the simulator sends
 * settings:
 *
 * <ul>
 *   <li>The path of a nested field consists of the field names, joined by dots.
 *   <li>An array of primitives becomes one value, the elements joined by commas.
 *   <li>An array of objects becomes {@code path.0.field}, {@code path.1.field} and so on, and
 *       {@code path.count} for the number of elements.
 *   <li>Fields that are null are left out.
 * </ul>
 */
final class JsonFlattener {
  private final Map<String, String> values = new LinkedHashMap<>();

  private JsonFlattener() {}

  /** Returns the values by path, in the order of the document. */
  static Map<String, String> flatten(JsonElement json) {
    JsonFlattener flattener = new JsonFlattener();
    flattener.add("", json);
    return flattener.values;
  }

  private void add(String path, JsonElement json) {
    if (json.isJsonObject()) {
      for (Map.Entry<String, JsonElement> field : json.getAsJsonObject().entrySet()) {
        String prefix = path.isEmpty() ? "" : path + ".";
        add(prefix + field.getKey(), field.getValue());
      }
    } else if (json.isJsonArray()) {
      addArray(path, json.getAsJsonArray());
    } else if (json.isJsonPrimitive()) {
      values.put(path, json.getAsString());
    }
  }

  private void addArray(String path, JsonArray array) {
    StringBuilder joined = new StringBuilder();
    boolean hasObjects = false;
    for (int i = 0; i < array.size(); i++) {
      JsonElement element = array.get(i);
      if (element.isJsonPrimitive()) {
        joined.append(i == 0 ? "" : ",").append(element.getAsString());
      } else {
        hasObjects = true;
        add(path + "." + i, element);
      }
    }
    if (hasObjects) {
      values.put(path + ".count", Integer.toString(array.size()));
    } else {
      values.put(path, joined.toString());
    }
  }
}
