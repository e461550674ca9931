package rushwood.testbed.load;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The settings of a router of the laboratory, on sockets and in virtual time, as its configuration
 * has them.
 */
public final class RouterSettings {
  private RouterSettings() {}

  public static ObjectNode json(Experiment experiment) {
    ObjectNode settings = json(experiment.routerCount());
    if (experiment.settings() != null) {
      settings.setAll((ObjectNode) experiment.settings());
    }
    return settings;
  }

  /** For so many routers, all else as usual. */
  public static ObjectNode json(int routers) {
    ObjectNode settings = JsonNodeFactory.instance.objectNode();
    ArrayNode classes = settings.putArray("classes");
    addRequestClass(classes, "pass", 0.4, 1.5, "repeatable");
    addRequestClass(classes, "pay", 0.75, 5, "once");
    addRequestClass(classes, "any", 1.0, 5, "repeatable");
    addRequestClass(classes, "mark", 0.75, 5, "by_key");
    settings.put("discovery", "automatic").put("n_instances", routers);
    settings.put("resolution", 0.005);
    ObjectNode domain = settings.putObject("domain");
    domain.put("behind", "reject").put("token_mode", "client");
    domain.putArray("lag_allowed").add(0.5).add(0.0).add(0.0).add(0.0);
    domain.putArray("needs_by_class").add("recent").add("update").add("loose").add("update");
    settings
        .putObject("limits")
        .put("conn_idle", 30.0)
        .put("dial_timeout", 0.25)
        .put("max_retry_after", 0.5)
        .put("may_cancel", true)
        .put("most_tries", 10)
        .put("probes", true)
        .put("retry_after", true);
    ObjectNode report = settings.putObject("load_report").put("how", "inline");
    report.putArray("names").add("x0").add("x1");
    settings
        .putObject("rules")
        .put("ask_within", 10.0)
        .put("cold", 14.0)
        .put("cold_from", 0.15)
        .put("drain_grace", 2.0)
        .put("fall", 1.0)
        .put("tip_multiple", 4.0);
    return settings;
  }

  private static void addRequestClass(
      ArrayNode classes, String name, double aim, double deadline, String semantics) {
    classes
        .addObject()
        .put("name", name)
        .put("aim", aim)
        .put("deadline", deadline)
        .put("semantics", semantics)
        .put("key_scope", "all")
        .put("window", 5.0);
  }
}
