package rushwood.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigTest {
  static final String SETTINGS =
      """
            {"classes":[{"name":"pass","aim":0.4,"deadline":1.5,"semantics":"repeatable","key_scope":"all","window":5.0},
                        {"name":"pay","aim":0.75,"deadline":5,"semantics":"once","key_scope":"all","window":5.0}],
             "discovery":"automatic","n_instances":1,"resolution":0.005,
             "domain":{"behind":"reject","lag_allowed":[0.5,0.0],"needs_by_class":["recent","update"],
                       "token_mode":"client"},
             "limits":{"conn_idle":30.0,"dial_timeout":0.25,"max_retry_after":0.5,"may_cancel":true,"most_tries":10,
                       "probes":true,"retry_after":true},
             "load_report":{"how":"inline","names":["x0","x1"]},
             "rules":{"ask_within":10.0,"cold":14.0,"cold_from":0.15,"fall":1.0,"tip_multiple":4.0}}""";
  static final String GOOD =
      "{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\","
          + "\"seed\":\"fc1f30d27a5be964\",\"limits\":{\"sockets\":256},"
          + "\"known\":{\"version\":41,\"full\":true,\"servers\":[]},\"settings\":"
          + SETTINGS
          + "}";

  @TempDir Path folder;

  private Config read(String json, Map<String, String> more) throws IOException, BadConfig {
    Path file = Files.writeString(folder.resolve("config.json"), json);
    Map<String, String> environment = new HashMap<>(more);
    environment.put("NODE_CONFIG", file.toString());
    return Config.read(environment);
  }

  @Test
  void good() throws Exception {
    Config config = read(GOOD, Map.of("NODE_LISTEN", "127.0.0.9:7"));
    assertEquals("n0", config.name());
    assertEquals("/127.0.0.9:7", config.listen().toString());
    assertEquals("/127.0.0.1:2", config.discovery().toString());
    assertEquals(0xfc1f30d27a5be964L, config.seed());
    assertEquals(41, config.known().version());
    assertEquals(2, config.settings().requestClasses().size());
    assertEquals(500_000_000, config.settings().requestClasses().get(0).maxStalenessNanos());
    assertEquals(250_000_000, config.openWithin());
    assertEquals(30_000_000_000L, config.idleFor());
  }

  private void bad(String field, String json) {
    BadConfig bad = assertThrows(BadConfig.class, () -> read(json, Map.of()));
    assertEquals(true, bad.getMessage().startsWith(field + " "), bad.getMessage());
    assertEquals(false, bad.getMessage().contains("\n"));
  }

  @Test
  void badFieldsAreNamed() {
    bad("NODE_CONFIG", "{");
    bad("NODE_CONFIG", "[]");
    bad("listen", GOOD.replace("127.0.0.1:1", "here"));
    bad("discovery", GOOD.replace("\"discovery\":\"127.0.0.1:2\"", "\"discovery\":7"));
    bad("seed", GOOD.replace("fc1f", "zz"));
    bad("limits.sockets", GOOD.replace("256", "\"many\""));
    bad("settings", GOOD.replace("\"settings\":", "\"other\":"));
    bad("settings.limits.dial_timeout", GOOD.replace("\"dial_timeout\":0.25,", ""));
    bad("settings.classes.0.semantics", GOOD.replace("repeatable", "maybe"));
    assertThrows(BadConfig.class, () -> Config.read(Map.of()));
    assertThrows(BadConfig.class, () -> Config.read(Map.of("NODE_CONFIG", folder + "/none")));
  }
}
