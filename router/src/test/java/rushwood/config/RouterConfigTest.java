package rushwood.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static rushwood.config.RouterConfigFixture.VALID_CONFIG;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RouterConfigTest {
  @TempDir Path folder;

  private RouterConfig read(String json, Map<String, String> overrides)
      throws IOException, InvalidConfigException {
    Path file = Files.writeString(folder.resolve("config.json"), json);
    Map<String, String> environment = new HashMap<>(overrides);
    environment.put("NODE_CONFIG", file.toString());
    return RouterConfig.read(environment);
  }

  @Test
  void readsValidConfig() throws Exception {
    RouterConfig config = read(VALID_CONFIG, Map.of("NODE_LISTEN", "127.0.0.9:7"));
    assertEquals("n0", config.name());
    assertEquals("/127.0.0.9:7", config.listenAddress().toString());
    assertEquals("/127.0.0.1:2", config.discoveryAddress().toString());
    assertEquals(0xfc1f30d27a5be964L, config.seed());
    assertEquals(OptionalLong.of(41), config.lastKnownEndpoints().orElseThrow().version());
    assertEquals(2, config.settings().requestClasses().size());
    assertEquals(500_000_000, config.settings().requestClasses().get(0).maxStalenessNanos());
    assertEquals(250_000_000, config.connectTimeoutNanos());
    assertEquals(30_000_000_000L, config.idleTimeoutNanos());
  }

  private void assertInvalid(String field, String json) {
    InvalidConfigException error =
        assertThrows(InvalidConfigException.class, () -> read(json, Map.of()));
    assertEquals(field, error.field());
    assertEquals(field + " " + error.reason(), error.getMessage());
    assertFalse(error.getMessage().contains("\n"), "more than one line: " + error.getMessage());
  }

  @Test
  void errorsNameTheInvalidField() {
    assertInvalid("NODE_CONFIG", "{");
    assertInvalid("NODE_CONFIG", "[]");
    assertInvalid("listen", VALID_CONFIG.replace("127.0.0.1:1", "here"));
    assertInvalid(
        "discovery", VALID_CONFIG.replace("\"discovery\":\"127.0.0.1:2\"", "\"discovery\":7"));
    assertInvalid("seed", VALID_CONFIG.replace("fc1f", "zz"));
    assertInvalid("limits.sockets", VALID_CONFIG.replace("256", "\"many\""));
    assertInvalid("settings", VALID_CONFIG.replace("\"settings\":", "\"other\":"));
    assertInvalid(
        "settings.limits.dial_timeout", VALID_CONFIG.replace("\"dial_timeout\":0.25,", ""));
    assertInvalid("settings.classes.0.semantics", VALID_CONFIG.replace("repeatable", "maybe"));
    assertThrows(InvalidConfigException.class, () -> RouterConfig.read(Map.of()));
    assertThrows(
        InvalidConfigException.class,
        () -> RouterConfig.read(Map.of("NODE_CONFIG", folder + "/none")));
  }
}
