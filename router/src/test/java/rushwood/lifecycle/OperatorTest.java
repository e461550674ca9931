package rushwood.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;

class OperatorTest {
  private static void bad(String text, String message) {
    assertEquals(message, assertThrows(BadConfig.class, () -> Operator.parse(text)).getMessage());
  }

  @Test
  void oneLineNamesTheField() throws Exception {
    bad("[", "rushwood.json is no JSON object");
    bad("{\"strom\":{}}", "strom is no setting");
    bad("{\"storm\":{\"x\":1}}", "storm.x is no setting");
    bad("{\"storm\":[]}", "storm is no object");
    bad("{\"storm\":{\"calendar\":1}}", "storm.calendar is neither true nor false");
    bad("{\"storm\":{\"repeats\":-1}}", "storm.repeats is no number from 0 to 10");
    bad("{\"log\":{\"format\":\"xml\"}}", "log.format is neither lines nor json");
    bad("{\"log\":{\"format\":\"json\"}}", "log.file is missing");
    bad("{\"log\":{\"file\":\"a\"}}", "log.file goes with the format json only");
    assertEquals(Operator.NONE, Operator.parse("{}"));
    assertEquals("a", Operator.parse("{\"log\":{\"format\":\"json\",\"file\":\"a\"}}").jsonLog());
    assertEquals(
        Operator.NONE, Operator.parse(Files.readString(Path.of("../deploy/rushwood.json"))));
    assertThrows(BadConfig.class, () -> Operator.read(Map.of("RUSHWOOD_SETTINGS", "/nowhere")));
    assertEquals(Operator.NONE, Operator.read(Map.of()));
  }
}
