package rushwood.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Turns nested JSON into pairs of path and value, as the simulator sends settings.
 *
 * <p>Fields of an object are joined by dots. A list of plain values becomes one value with commas
 * between them; a list of objects becomes {@code path.0.field}, {@code path.1.field} and so on,
 * with their number in {@code path.count}.
 */
final class JsonFlattener {
  private final Map<String, String> values = new LinkedHashMap<>();

  private JsonFlattener() {}

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
