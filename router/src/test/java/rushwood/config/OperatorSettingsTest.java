package rushwood.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class OperatorSettingsTest {
  private static void assertInvalid(String text, String message) {
    assertEquals(
        message,
        assertThrows(InvalidConfigException.class, () -> OperatorSettings.parse(text))
            .getMessage());
  }

  @Test
  void errorsNameTheInvalidField() throws Exception {
    assertInvalid("[", "rushwood.json is not a JSON object");
    assertInvalid("{\"strom\":{}}", "strom is not a known setting");
    assertInvalid("{\"storm\":{\"x\":1}}", "storm.x is not a known setting");
    assertInvalid("{\"storm\":[]}", "storm is not an object");
    assertInvalid("{\"storm\":{\"calendar\":1}}", "storm.calendar is neither true nor false");
    assertInvalid("{\"storm\":{\"repeats\":-1}}", "storm.repeats is not a number from 0 to 10");
    assertInvalid("{\"log\":{\"format\":\"xml\"}}", "log.format is neither lines nor json");
    assertInvalid("{\"log\":{\"format\":\"json\"}}", "log.file is missing");
    assertInvalid("{\"log\":{\"file\":\"a\"}}", "log.file is allowed only with the format json");
    assertEquals(OperatorSettings.DEFAULTS, OperatorSettings.parse("{}"));
    assertEquals(
        Optional.of("a"),
        OperatorSettings.parse("{\"log\":{\"format\":\"json\",\"file\":\"a\"}}").jsonLogFile());
    assertEquals(
        OperatorSettings.DEFAULTS,
        OperatorSettings.parse(Files.readString(Path.of("../deploy/rushwood.json"))));
    assertThrows(
        InvalidConfigException.class,
        () -> OperatorSettings.read(Map.of("RUSHWOOD_SETTINGS", "/nowhere")));
    assertEquals(OperatorSettings.DEFAULTS, OperatorSettings.read(Map.of()));
  }
}
