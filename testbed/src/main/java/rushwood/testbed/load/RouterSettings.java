package rushwood.testbed.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import rushwood.testbed.model.TestbedRequestClass;
import rushwood.testbed.standin.Loopback;

/** Creates the configuration of the testbed's routers, for the {@link TestbedRequestClass}es. */
public final class RouterSettings {
  private RouterSettings() {}

  /**
   * Returns the settings of the experiment's routers: those of {@link #forCluster}, of which the
   * experiment's own settings replace whole top-level values.
   */
  public static ObjectNode forExperiment(Experiment experiment) {
    ObjectNode settings = forCluster(experiment.routerCount());
    settings.setAll((ObjectNode) experiment.settings());
    return settings;
  }

  /** Returns the settings of each router of a cluster of {@code routerCount} routers. */
  public static ObjectNode forCluster(int routerCount) {
    ObjectNode settings = JsonNodeFactory.instance.objectNode();
    ArrayNode classes = settings.putArray("classes");
    addRequestClass(classes, TestbedRequestClass.BOUNDED_READ, 0.4, 1.5, "repeatable");
    addRequestClass(classes, TestbedRequestClass.NON_IDEMPOTENT_WRITE, 0.75, 5, "once");
    addRequestClass(classes, TestbedRequestClass.EVENTUAL_READ, 1.0, 5, "repeatable");
    addRequestClass(classes, TestbedRequestClass.KEYED_WRITE, 0.75, 5, "by_key");
    settings.put("discovery", "automatic").put("n_instances", routerCount);
    settings.put("resolution", 0.005);
    addDomainSettings(settings.putObject("domain"));
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

  /** Adds the classes' staleness and consistency, in the order of {@link TestbedRequestClass}. */
  private static void addDomainSettings(ObjectNode domain) {
    domain.put("behind", "reject").put("token_mode", "client");
    domain.putArray("lag_allowed").add(0.5).add(0.0).add(0.0).add(0.0);
    domain.putArray("needs_by_class").add("recent").add("update").add("loose").add("update");
  }

  private static void addRequestClass(
      ArrayNode classes,
      TestbedRequestClass requestClass,
      double objectiveSeconds,
      double deadlineSeconds,
      String semantics) {
    classes
        .addObject()
        .put("name", requestClass.wireName())
        .put("aim", objectiveSeconds)
        .put("deadline", deadlineSeconds)
        .put("semantics", semantics)
        .put("key_scope", "all")
        .put("window", 5.0);
  }

  /** Returns the contents of the configuration file of one router. */
  static ObjectNode configuration(
      String name,
      InetSocketAddress listen,
      InetSocketAddress discovery,
      long seed,
      int maxSockets,
      JsonNode settings) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("name", name)
        .put("listen", Loopback.format(listen))
        .put("discovery", Loopback.format(discovery))
        .put("seed", Long.toHexString(seed));
    json.putObject("limits").put("sockets", maxSockets);
    json.set("settings", settings);
    return json;
  }
}
